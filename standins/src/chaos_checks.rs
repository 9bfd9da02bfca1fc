//! What a chaos run asserts: one check for each line of "what must always hold".
//!
//! The checks see what callers and backend servers see, and never the state of the processes under
//! test, so that no fault of theirs can hide itself.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::ids::{AttemptId, CallSeq, ProgramId, Revision, ServiceName, VmId};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

/// How long after it was known to leave a backend server may still start calls.
pub const LEAVING_GRACE_US: SpanUs = SpanUs::from_s(4);

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub property: &'static str,
    /// What was seen.
    pub detail: String,
}

/// One call's body, which callers make unique.
pub type BodyId = u64;

/// What backend servers and callers have seen so far.
#[derive(Debug, Default)]
pub struct Checks {
    /// The highest place of a call that a backend server has started, by program.
    started: BTreeMap<ProgramId, CallSeq>,
    /// How often each non-idempotent body was executed.
    executed: BTreeMap<BodyId, u32>,
    /// Bodies whose last answer said "not run" and which were not sent again.
    abandoned: BTreeSet<BodyId>,
    /// Bodies that any backend server has started.
    ran: BTreeSet<BodyId>,
    /// Tokens that engines have processed, by program.
    used_tokens: BTreeMap<ProgramId, Tokens>,
    budgets: BTreeMap<ProgramId, Tokens>,
    leaving: BTreeMap<VmId, TimeUs>,
    revisions: BTreeMap<(VmId, ServiceName), Revision>,
    ended: BTreeMap<ProgramId, TimeUs>,
    /// The first promise that was broken.
    pub violation: Option<Violation>,
}

impl Checks {
    /// Notes a broken promise; the first one counts.
    pub fn fail(&mut self, property: &'static str, detail: String) {
        self.violation.get_or_insert(Violation { property, detail });
    }

    /// A program may spend this much.
    pub fn on_budget(&mut self, program: &ProgramId, budget: Tokens) {
        self.budgets.insert(program.clone(), budget);
    }

    /// A backend server starts a call.
    pub fn on_start(
        &mut self,
        now: TimeUs,
        vm: &VmId,
        program: &ProgramId,
        seq: CallSeq,
        body: BodyId,
        attempt: AttemptId,
    ) {
        let highest = self.started.entry(program.clone()).or_insert(seq);
        if seq < *highest {
            let detail = format!("{program}: call {seq} started after call {highest} ({attempt})");
            self.fail("order", detail);
        } else {
            *highest = seq;
        }
        self.ran.insert(body);
        if self.abandoned.contains(&body) {
            self.fail(
                "not run",
                format!("{program}/{seq} was refused as not run, and now runs"),
            );
        }
        if let Some(since) = self.leaving.get(vm)
            && now.since(*since) > LEAVING_GRACE_US
        {
            let late = now.since(*since);
            self.fail(
                "leaving",
                format!("{vm} got {program}/{seq} {late} after it began to leave"),
            );
        }
    }

    /// A backend server has carried out a non-idempotent call.
    pub fn on_executed(&mut self, program: &ProgramId, body: BodyId) {
        let count = self.executed.entry(body).or_default();
        *count += 1;
        if *count > 1 {
            let detail = format!("{program}: body {body} was executed {count} times");
            self.fail("at most once", detail);
        }
    }

    /// An engine has processed tokens for a program.
    pub fn on_tokens_used(&mut self, program: &ProgramId, tokens: Tokens) {
        let spent = self.used_tokens.entry(program.clone()).or_default();
        *spent += tokens;
        let (spent, budget) = (*spent, self.budgets.get(program).copied());
        if let Some(budget) = budget.filter(|budget| spent > *budget) {
            self.fail("budget", format!("{program} has spent {spent} of {budget}"));
        }
    }

    /// A caller was told that a call did not run, and leaves it at that.
    pub fn on_abandoned(&mut self, program: &ProgramId, body: BodyId) {
        self.abandoned.insert(body);
        if self.ran.contains(&body) {
            let detail = format!("{program}: body {body} ran, yet was refused as not run");
            self.fail("not run", detail);
        }
    }

    /// Whether a body was executed.
    #[must_use]
    pub fn was_executed(&self, body: BodyId) -> bool {
        self.executed.contains_key(&body)
    }

    /// A backend server has been told to leave.
    pub fn on_leaving(&mut self, now: TimeUs, vm: &VmId) {
        self.leaving.entry(vm.clone()).or_insert(now);
    }

    /// A backend server has been replaced.
    pub fn on_replaced(&mut self, vm: &VmId) {
        self.leaving.remove(vm);
        self.revisions.retain(|(known, _), _| known != vm);
    }

    /// A process serves by a revision.
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

    /// The caller knows that its program has ended.
    pub fn on_ended(&mut self, now: TimeUs, program: &ProgramId) {
        self.ended.entry(program.clone()).or_insert(now);
    }

    /// An engine holds memory for a program at the end of a run, when all should be free.
    pub fn on_memory_held(&mut self, vm: &VmId, program: &ProgramId, held: Tokens) {
        if self.ended.contains_key(program) {
            self.fail(
                "engine memory",
                format!("{vm} holds {held} for {program}, which has ended"),
            );
        }
    }
}
