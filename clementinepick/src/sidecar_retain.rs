//! Periodically sends the engine the list of all chains to retain, so that it frees the rest.
//!
//! Releases of single programs can leak cache until the engine is full: a turn that ends just as it
//! is cancelled leaves its answer under a chain that no release names, and a restarted sidecar does
//! not know what its predecessor's calls cached. The list needs no knowledge of leaked chains, and
//! the next one replaces one that was lost.

use std::collections::BTreeSet;

use crate::call::Payload;
use crate::prompt::ChainHash;
use crate::sidecar::{Phase, Sidecar, SidecarAction};
use crate::units::{SpanUs, TimeUs, Tokens};

/// Time between two lists, and from a start to the first one. Programs that do not return within
/// it after a restart have to prefill again.
const RETAIN_INTERVAL_US: SpanUs = SpanUs::from_s(30);

impl Sidecar {
    /// Sends the list of leased chains and prompts of open calls to the engine, if it is due.
    pub(crate) fn send_retained_chains(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let due = *self
            .next_retain_us
            .get_or_insert(now.after(RETAIN_INTERVAL_US));
        let is_engine = self.load.cache_size_tokens > Tokens(0);
        if now < due || !is_engine || !self.settings.safeguards.retain {
            return;
        }
        self.next_retain_us = Some(now.after(RETAIN_INTERVAL_US));
        let leased = self.leases.values().flat_map(|lease| &lease.chains);
        let mut chains: BTreeSet<ChainHash> = leased.copied().collect();
        let open = self.attempts.values();
        let open = open.filter(|attempt| !matches!(attempt.phase, Phase::Ended { .. }));
        chains.extend(open.filter_map(|attempt| match &attempt.dispatch.payload {
            Payload::Chat(chat) => Some(chat.prompt.chain()),
            Payload::Plain(_) => None,
        }));
        let chains = chains.into_iter().collect();
        out.push(SidecarAction::Retain { chains });
    }
}
