//! Keeps the engine's cache to what programs that live hold: now and then the engine is told all
//! that is to be kept, and frees the rest.
//!
//! Orders to free one program's cache can miss some of it: a sidecar that has restarted does not
//! know what its predecessor's calls left behind, and engines tell their cache late and with gaps.
//! The symptom is memory that nobody frees until the engine is full. A list of what is to be kept
//! needs no knowledge of the rest, and a list that is lost is made good by the next one.

use std::collections::BTreeSet;

use crate::call::Payload;
use crate::message::LeasedProgram;
use crate::prompt::ChainHash;
use crate::sidecar::{Phase, Sidecar, SidecarAction};
use crate::units::{SpanUs, TimeUs, Tokens};

/// After its start a sidecar waits this long for the owners to say which programs live.
const ADOPT_US: SpanUs = SpanUs::from_s(10);
/// The time between two lists.
const RETAIN_US: SpanUs = SpanUs::from_s(30);

/// When the next list is due.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetainClock {
    next_us: Option<TimeUs>,
    /// Set until the engine has taken a first list: only then is its cache known to be ours.
    has_listed: bool,
}

impl RetainClock {
    /// Brings the next list forward, since something may be left that no lease names.
    pub(crate) fn hurry(&mut self, now: TimeUs) {
        if self.has_listed {
            self.next_us = Some(now);
        }
    }
}

impl Sidecar {
    /// Keeps the cache of these programs for a while longer.
    pub(crate) fn renew_leases(
        &mut self,
        now: TimeUs,
        programs: Vec<LeasedProgram>,
        ttl_us: SpanUs,
    ) {
        let adopts = !self.retain.has_listed;
        for LeasedProgram { program, chain } in programs {
            if let Some(lease) = self.leases.get_mut(&program) {
                lease.until_us = now.after(ttl_us);
            } else if adopts && chain != ChainHash::default() {
                let lease = self.leases.entry(program).or_default();
                lease.until_us = now.after(ttl_us);
                lease.chains.insert(chain);
                lease.is_adopted = true;
            }
        }
    }

    /// Tells the engine what to keep, when it is time.
    pub(crate) fn poll_retain(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let due = *self.retain.next_us.get_or_insert(now.after(ADOPT_US));
        if now < due || self.load.cache_size_tokens == Tokens(0) {
            return;
        }
        self.retain.next_us = Some(now.after(RETAIN_US));
        let leased = self.leases.values().flat_map(|lease| &lease.chains);
        let mut chains: BTreeSet<ChainHash> = leased.copied().collect();
        for attempt in self.attempts.values() {
            if !matches!(attempt.phase, Phase::Ended { .. })
                && let Payload::Chat(chat) = &attempt.dispatch.payload
            {
                chains.insert(chat.prompt.chain());
            }
        }
        out.push(SidecarAction::Retain {
            chains: chains.into_iter().collect(),
        });
    }

    /// The engine has taken a list, or has not answered.
    pub(crate) fn on_retained(&mut self, freed_tokens: Option<Tokens>) {
        self.retain.has_listed |= freed_tokens.is_some();
    }
}
