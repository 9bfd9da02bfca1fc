//! Keeps the engine's cache to what leases name: now and then the engine is told all that is to be
//! kept, and frees the rest.
//!
//! Orders to free one program's cache can miss some of it. A turn that ends just as it is cancelled
//! leaves its answer in the cache under a chain that nobody was told, and that keeps the whole
//! prefix before it from being freed; a sidecar that has restarted does not know what its
//! predecessor's calls left behind. The symptom is memory that stays until the engine is full. A
//! list of what is to be kept needs no knowledge of the rest, and a lost list is made good by the
//! next one.

use std::collections::BTreeSet;

use crate::call::Payload;
use crate::prompt::ChainHash;
use crate::sidecar::{Phase, Sidecar, SidecarAction};
use crate::units::{SpanUs, TimeUs, Tokens};

/// The time between two lists, and from a start to the first: by then the programs that still live
/// have come back or will have to prefill again.
const RETAIN_US: SpanUs = SpanUs::from_s(30);

impl Sidecar {
    /// Tells the engine what to keep, when it is time.
    pub(crate) fn poll_retain(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let due = *self.next_retain_us.get_or_insert(now.after(RETAIN_US));
        let is_engine = self.load.cache_size_tokens > Tokens(0);
        if now < due || !is_engine || !self.settings.safeguards.retain {
            return;
        }
        self.next_retain_us = Some(now.after(RETAIN_US));
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
