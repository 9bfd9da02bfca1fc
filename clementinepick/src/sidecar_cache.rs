//! Tracks leases on the engine cache that programs hold, and frees it when they end.

use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, ProgramId, VmId};
use crate::message::Message;
use crate::platform::CacheEvent;
use crate::prompt::ChainHash;
use crate::units::{SpanUs, TimeUs, Tokens};

use crate::sidecar::{Phase, Sidecar, SidecarAction, log, send};

impl Sidecar {
    /// Extends the program's lease and adds the cached chains to it.
    pub(crate) fn extend_lease(
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
        // A release in progress was sent before these chains were cached and does not cover them.
        lease.releasing = false;
    }

    /// Returns whether a call of the program waits or runs here.
    pub(crate) fn is_active(&self, program: &ProgramId) -> bool {
        self.attempts.values().any(|attempt| {
            attempt.dispatch.call.program == *program
                && !matches!(attempt.phase, Phase::Ended { .. })
        })
    }

    /// Cancels the program's idempotent calls and frees its cache once no call is open.
    ///
    /// `notify` is the owner to inform when the cache is free.
    pub(crate) fn release_cache(
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
            // A non-idempotent call runs to its end, which triggers the release again.
            let lease = self.leases.entry(program).or_default();
            lease.notify = notify.or(lease.notify.take());
            lease.until_us = now;
            return;
        }
        // A pause of at least the idle limit means that the program was abandoned, not ended.
        let is_ended = self.retention.idle_us(now, &program) < Some(self.idle_limit_us());
        self.retention.on_program_end(now, &program, is_ended);
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
        self.send_release(program, out);
    }

    fn idle_limit_us(&self) -> SpanUs {
        let active = self.config.service(&self.settings.service);
        active.map_or(SpanUs(u64::MAX), |s| s.document.program.idle_us)
    }

    /// Frees the chains that only this program uses.
    ///
    /// A sub-agent's prefix begins with its parent's. Without the check, the end of one sub-agent
    /// would free the prompt that its parent and siblings continue from.
    fn send_release(&mut self, program: ProgramId, out: &mut Vec<SidecarAction>) {
        let Some(lease) = self.leases.get_mut(&program) else {
            return;
        };
        if std::mem::replace(&mut lease.releasing, true) {
            return;
        }
        let unused = lease.chains.iter().copied();
        let chains = unused
            .filter(|chain| !self.retention.is_used(*chain))
            .collect();
        out.push(SidecarAction::Release { program, chains });
    }

    /// Frees the prefixes of paused programs that the retention policy no longer keeps.
    pub(crate) fn release_paused_programs(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        // Without this safeguard a sidecar frees cache only when an owner requests it.
        if !self.settings.safeguards.lease_lapse {
            return;
        }
        for (program, _) in self.retention.take_expired(now) {
            let Some(program) = program else { continue };
            if !self.is_active(&program) {
                self.send_release(program, out);
            }
        }
    }

    pub(crate) fn on_released(
        &mut self,
        program: ProgramId,
        freed_tokens: Option<Tokens>,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(freed_tokens) = freed_tokens else {
            // Without a reply the cache may still be held. The expired lease makes the next tick
            // retry.
            if let Some(lease) = self.leases.get_mut(&program) {
                lease.releasing = false;
                lease.until_us = TimeUs(0);
            }
            return;
        };
        // A turn that ended after the request has cached chains that the request did not include.
        if self
            .leases
            .get(&program)
            .is_none_or(|lease| !lease.releasing)
        {
            return;
        }
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

    pub(crate) fn on_cache_events(
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

    /// Frees the cache of programs whose lease has expired.
    ///
    /// After an owner fails, nobody else may know what its programs hold here. Without the expiry
    /// that cache would never be freed.
    pub(crate) fn release_expired_leases(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        if !self.settings.safeguards.lease_lapse {
            return;
        }
        let expired: Vec<ProgramId> = self
            .leases
            .iter()
            .filter(|(program, lease)| {
                !lease.releasing && lease.until_us <= now && !self.is_active(program)
            })
            .map(|(program, _)| program.clone())
            .collect();
        for program in expired {
            out.push(log(EventKind::CacheLeaseLapsed, &program));
            self.release_cache(now, program, None, out);
        }
    }
}
