//! What programs hold in the engine's cache, and how it is freed.

use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, ProgramId, VmId};
use crate::message::Message;
use crate::platform::CacheEvent;
use crate::prompt::ChainHash;
use crate::units::{SpanUs, TimeUs, Tokens};

use crate::sidecar::{Phase, Sidecar, SidecarAction, log, send};

impl Sidecar {
    pub(crate) fn hold_cache(
        &mut self,
        now: TimeUs,
        id: AttemptId,
        cached: impl IntoIterator<Item = ChainHash>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let lease_us = self
            .config
            .service(&self.settings.service)
            .map_or(SpanUs::from_s(30), |s| s.document.retention.lease_us);
        let lease = self
            .leases
            .entry(attempt.dispatch.call.program.clone())
            .or_default();
        lease.until_us = lease.until_us.max(now.after(lease_us));
        lease.chains.extend(cached);
    }

    /// Whether a call of the program waits or runs here.
    pub(crate) fn is_active(&self, program: &ProgramId) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.dispatch.call.program == *program
                && !matches!(attempt.phase, Phase::Ended { .. })
        })
    }

    pub(crate) fn release(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        notify: Option<VmId>,
        out: &mut Vec<SidecarAction>,
    ) {
        let idempotent: Vec<AttemptId> = self
            .attempts
            .values()
            .filter(|a| a.dispatch.call.program == program && a.dispatch.idempotent)
            .map(|a| a.dispatch.attempt)
            .collect();
        for id in idempotent {
            self.on_cancel(now, id, out);
        }
        if self.is_active(&program) {
            // A call that may not run twice is let finish; its end asks for the release again.
            let lease = self.leases.entry(program).or_default();
            lease.notify = notify.or(lease.notify.take());
            lease.until_us = now;
            return;
        }
        let Some(lease) = self.leases.get_mut(&program) else {
            if let Some(to) = notify {
                out.push(send(
                    &to,
                    Message::Released {
                        program,
                        freed_tokens: Tokens(0),
                    },
                ));
            }
            return;
        };
        lease.notify = notify.or(lease.notify.take());
        if !std::mem::replace(&mut lease.releasing, true) {
            out.push(SidecarAction::Release {
                program,
                chains: lease.chains.iter().copied().collect(),
            });
        }
    }

    pub(crate) fn on_released(
        &mut self,
        program: ProgramId,
        freed_tokens: Option<Tokens>,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(freed_tokens) = freed_tokens else {
            // Without the engine's word the memory may still be held: the next tick asks again.
            if let Some(lease) = self.leases.get_mut(&program) {
                lease.releasing = false;
                lease.until_us = TimeUs(0);
            }
            return;
        };
        let Some(lease) = self.leases.remove(&program) else {
            return;
        };
        let event = Event::new(EventKind::CacheReleased).with("program", &program);
        out.push(SidecarAction::Log(
            event.with("freed_tokens", freed_tokens.0),
        ));
        if let Some(to) = lease.notify {
            out.push(send(
                &to,
                Message::Released {
                    program,
                    freed_tokens,
                },
            ));
        }
    }

    pub(crate) fn on_cache(
        &mut self,
        first: u64,
        events: &[CacheEvent],
        out: &mut Vec<SidecarAction>,
    ) {
        if first != self.next_cache_event {
            out.push(log(EventKind::CacheEventGap, first));
        }
        self.next_cache_event = first + events.len() as u64;
        for vm in self.entries.keys() {
            out.push(send(
                vm,
                Message::Cache {
                    first,
                    events: events.to_vec(),
                },
            ));
        }
    }

    /// Frees the cache of programs whose owner has not been heard of: it died, and nobody else
    /// knows what its programs hold here.
    pub(crate) fn lapse_leases(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        if !self.settings.safeguards.lease_lapse {
            return;
        }
        let lapsed: Vec<ProgramId> = self
            .leases
            .iter()
            .filter(|(program, lease)| {
                !lease.releasing && lease.until_us <= now && !self.is_active(program)
            })
            .map(|(program, _)| program.clone())
            .collect();
        for program in lapsed {
            out.push(log(EventKind::CacheLeaseLapsed, &program));
            self.release(now, program, None, out);
        }
    }
}
