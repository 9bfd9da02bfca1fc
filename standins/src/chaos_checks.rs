//! Checks the properties that must always hold in a chaos run.
//!
//! The checks use what callers and backend servers observe rather than the state of the processes
//! under test, so that a fault in these processes can't hide itself.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::ids::{AttemptId, CallSeq, ProgramId, Revision, ServiceName, VmId};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

/// The time for which a backend server may still start calls after it began to leave.
pub const LEAVING_GRACE_US: SpanUs = SpanUs::from_s(4);

/// A violation of a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The name of the property.
    pub property: &'static str,
    /// What was observed.
    pub detail: String,
}

/// Identifies the body of a call; unique per call of a run.
pub type BodyId = u64;

/// What backend servers and callers have observed so far.
#[derive(Debug, Default)]
pub struct Checks {
    /// The highest sequence number of a call that a backend server has started, by program.
    highest_started: BTreeMap<ProgramId, CallSeq>,
    /// How often each non-idempotent body was executed.
    executed: BTreeMap<BodyId, u32>,
    /// Bodies that were reported as not run and that their callers don't send again.
    abandoned: BTreeSet<BodyId>,
    /// Bodies that any backend server has started.
    started_bodies: BTreeSet<BodyId>,
    /// Tokens that engines have processed, by program.
    used_tokens: BTreeMap<ProgramId, Tokens>,
    budgets: BTreeMap<ProgramId, Tokens>,
    leaving: BTreeMap<VmId, TimeUs>,
    revisions: BTreeMap<(VmId, ServiceName), Revision>,
    ended: BTreeMap<ProgramId, TimeUs>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Checks {
    /// Records a violation, unless there is one already.
    pub fn fail(&mut self, property: &'static str, detail: String) {
        self.violation.get_or_insert(Violation { property, detail });
    }

    /// Records the token budget of a program.
    pub fn on_budget(&mut self, program: &ProgramId, budget: Tokens) {
        self.budgets.insert(program.clone(), budget);
    }

    /// Records that a backend server starts a call.
    pub fn on_start(
        &mut self,
        now: TimeUs,
        vm: &VmId,
        program: &ProgramId,
        seq: CallSeq,
        body: BodyId,
        attempt: AttemptId,
    ) {
        let highest = self.highest_started.entry(program.clone()).or_insert(seq);
        if seq < *highest {
            let detail = format!("{program}: call {seq} started after call {highest} ({attempt})");
            self.fail("order", detail);
        } else {
            *highest = seq;
        }
        self.started_bodies.insert(body);
        if self.abandoned.contains(&body) {
            self.fail(
                "not run",
                format!("{program}/{seq} runs after it was reported as not run"),
            );
        }
        if let Some(since) = self.leaving.get(vm)
            && now.since(*since) > LEAVING_GRACE_US
        {
            let late = now.since(*since);
            self.fail(
                "leaving",
                format!("{vm} started {program}/{seq} {late} after it began to leave"),
            );
        }
    }

    /// Records that a backend server has executed a non-idempotent call.
    pub fn on_executed(&mut self, program: &ProgramId, body: BodyId) {
        let count = self.executed.entry(body).or_default();
        *count += 1;
        if *count > 1 {
            let detail = format!("{program}: body {body} was executed {count} times");
            self.fail("at most once", detail);
        }
    }

    /// Records the tokens that an engine has used for a program.
    pub fn on_tokens_used(&mut self, program: &ProgramId, tokens: Tokens) {
        let used = self.used_tokens.entry(program.clone()).or_default();
        *used += tokens;
        let (used, budget) = (*used, self.budgets.get(program).copied());
        if let Some(budget) = budget.filter(|budget| used > *budget) {
            self.fail(
                "budget",
                format!("{program} has used {used} tokens of {budget}"),
            );
        }
    }

    /// Records that a caller gives up a call that was reported as not run.
    pub fn on_abandoned(&mut self, program: &ProgramId, body: BodyId) {
        self.abandoned.insert(body);
        if self.started_bodies.contains(&body) {
            let detail = format!("{program}: body {body} was reported as not run, but ran");
            self.fail("not run", detail);
        }
    }

    /// Returns whether a body was executed.
    #[must_use]
    pub fn was_executed(&self, body: BodyId) -> bool {
        self.executed.contains_key(&body)
    }

    /// Records that a backend server was told to leave.
    pub fn on_leaving(&mut self, now: TimeUs, vm: &VmId) {
        self.leaving.entry(vm.clone()).or_insert(now);
    }

    /// Records that the process of a VM starts anew.
    pub fn on_replaced(&mut self, vm: &VmId) {
        self.leaving.remove(vm);
        self.revisions.retain(|(known, _), _| known != vm);
    }

    /// Records the configuration revision that a process uses.
    pub fn on_revision(&mut self, vm: &VmId, service: &ServiceName, revision: Revision) {
        let key = (vm.clone(), service.clone());
        let known = self.revisions.entry(key).or_insert(revision);
        if revision < *known {
            let detail = format!("{vm}: {service} went from revision {known} back to {revision}");
            self.fail("configuration", detail);
        } else {
            *known = revision;
        }
    }

    /// Records that a program has ended.
    pub fn on_ended(&mut self, now: TimeUs, program: &ProgramId) {
        self.ended.entry(program.clone()).or_insert(now);
    }

    /// Records that an engine still holds memory for a program when all must be freed.
    pub fn on_memory_held(&mut self, vm: &VmId, program: &ProgramId, held: Tokens) {
        if self.ended.contains_key(program) {
            self.fail(
                "engine memory",
                format!("{vm} holds {held} for {program}, which has ended"),
            );
        }
    }
}
