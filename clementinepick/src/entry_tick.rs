//! What an entry does because time has passed.

use crate::call_state::Step;
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::RequestId;
use crate::step_record::send_committed;
use crate::units::{SpanUs, TimeUs};

/// How long after a deadline the answer of whoever runs the call is waited for.
const ANSWER_GRACE_US: SpanUs = SpanUs::from_s(1);

/// The time between two walks over all programs.
const WALK_US: SpanUs = SpanUs::from_ms(100);

impl Entry {
    pub(crate) fn on_tick(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now >= self.next_heartbeat_us {
            self.next_heartbeat_us = now.after(self.settings.heartbeat_us);
            self.send_heartbeats(now, out);
            self.renew_leases(out);
        }
        self.disconnect_silent_peers(now, out);
        self.evaluate_members(now, out);
        // After a pause others may have taken over: nothing is decided before the log is read.
        if self.is_ownership_unconfirmed && !self.journal.is_down() {
            return;
        }
        self.finish_takeovers(now, out);
        self.sweep_calls(now, out);
        self.reserve_ahead(now);
        self.query_open_calls(now, out);
        self.send_due_releases(now, out);
        self.resend_end_requests(now, out);
        self.walk_programs(now, out);
        self.drop_kept(now, out);
        self.claim_orphaned_partitions(now);
        self.hand_over_partitions(now);
        self.write_snapshots(now);
        self.write_due_config_snapshot(now);
        self.decide_orders(now, out);
        self.scale_appends();
        if self.is_finished() {
            out.push(EntryAction::Finished);
        }
    }

    /// Looks at every program, which is too much for each tick: with thousands of them under way an
    /// entry would do nothing else. What is looked for here has seconds of time.
    fn walk_programs(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now < self.next_program_sweep_us {
            return;
        }
        self.next_program_sweep_us = now.after(WALK_US);
        self.end_expired_programs(now, out);
        self.forget_ended_programs(now);
    }

    /// The log's append rate is shared by the entries that live.
    fn scale_appends(&mut self) {
        let others = self.count_live_entries();
        self.journal.share_between(others + 1);
    }

    /// Answers kept by sidecars whose callers did not come back are let go.
    fn drop_kept(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now < self.kept_answers_until_us {
            return;
        }
        for (vm, kept) in std::mem::take(&mut self.kept_answers).into_values() {
            send_committed(&vm, kept.attempt, out);
        }
    }

    fn sweep_calls(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let ids: Vec<RequestId> = self.calls.keys().copied().collect();
        for id in ids {
            self.sweep_call(now, id, out);
        }
    }

    fn sweep_call(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late = now >= call.deadline_us;
        let overdue = now >= call.deadline_us.after(ANSWER_GRACE_US);
        match call.step.clone() {
            Step::Record { since_us } if now.since(since_us) >= self.settings.commit_wait_us => {
                self.finish_pending(now, id, out);
            }
            Step::Own if late => self.refuse_late(now, id, ErrorKind::OwnerUnknown, out),
            Step::Own => self.step_owner(now, id, out),
            Step::Route { .. } if late => self.refuse_late(now, id, ErrorKind::NoBackend, out),
            Step::Route { .. } => self.step_route(now, id, out),
            Step::Order if late => {
                let live = self.programs.get(&call.request.program);
                let kind = if live.is_some_and(|live| live.is_opening) {
                    ErrorKind::LogUnavailable
                } else {
                    ErrorKind::DeadlineBeforeStart
                };
                self.refuse_late(now, id, kind, out);
            }
            Step::Claim | Step::Slice if late => {
                self.refuse_late(now, id, ErrorKind::LogUnavailable, out);
            }
            Step::Lost { .. } if late => self.detach_at_deadline(now, id, out),
            Step::Running { .. } if call.caller_left_us.is_some() && !overdue => {
                self.cancel_abandoned(now, id, out);
            }
            Step::Running { .. } if overdue && call.recorded_start.is_some() => {
                self.detach_at_deadline(now, id, out);
            }
            Step::Running { .. } | Step::Forwarded(_) | Step::Follow(_) if overdue => {
                self.give_up(now, id, out);
            }
            Step::Order
            | Step::Claim
            | Step::Slice
            | Step::Forwarded(_)
            | Step::Running { .. }
            | Step::Lost { .. }
            | Step::Follow(_)
            | Step::Record { .. } => {}
        }
    }

    /// Whoever runs the call has said nothing even after the deadline.
    fn give_up(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let idempotent = self.calls.get(&id).is_some_and(|call| call.idempotent);
        let kind = if idempotent {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::OutcomeUnknown
        };
        if let Some(Step::Running { attempt, .. }) = self.calls.get(&id).map(|c| c.step.clone()) {
            self.end_attempt(attempt, true);
            self.settle_full_reservation(id);
        }
        let error = CallError::new(kind, "the deadline passed without an answer");
        self.fail_call(now, id, error, out);
    }

    fn refuse_late(
        &mut self,
        now: TimeUs,
        id: RequestId,
        kind: ErrorKind,
        out: &mut Vec<EntryAction>,
    ) {
        let error = CallError::new(kind, "the deadline passed before the call could start");
        self.fail_call(now, id, error, out);
    }
}
