//! Defines switches that disable single safeguards, so that tests can show that each one is needed.

/// Enabled safeguards; all of them by default.
///
/// Only test runs disable one; a daemon never does.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each safeguard is disabled independently"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Safeguards {
    /// A sidecar rejects an owner whose epoch is lower than the highest known one.
    pub epoch_check: bool,
    /// A non-idempotent call is recorded before it is dispatched.
    pub call_started_record: bool,
    /// A new owner first fences open calls of an earlier owner at their sidecars.
    pub fence: bool,
    /// A repeated call gets the answer of the first one.
    pub dedup: bool,
    /// A claim takes effect only if the current claim is the one that it names.
    pub claim_cas: bool,
    /// An owner acts on its records only after reading them back from the log.
    pub read_back: bool,
    /// A sidecar frees cache whose lease has expired.
    pub lease_lapse: bool,
    /// Only idempotent calls are retried after they were dispatched.
    pub retry_only_idempotent: bool,
    /// Turns and transcripts are verified against the hash chain of the history.
    pub digest_check: bool,
    /// Budget is spent only from recorded slices.
    pub slice_on_record: bool,
    /// The revision of a document never decreases in a process.
    pub revision_monotonic: bool,
    /// Requests to free the cache of an ended program are repeated until confirmed.
    pub release_repeat: bool,
    /// A sidecar periodically sends its engine the list of all chains to retain.
    pub retain: bool,
    /// Calls of a program run one after the other.
    pub order: bool,
    /// A sidecar ends a turn that exceeds the tokens reserved for it.
    pub output_cut: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            epoch_check: true,
            call_started_record: true,
            fence: true,
            dedup: true,
            claim_cas: true,
            read_back: true,
            lease_lapse: true,
            retry_only_idempotent: true,
            digest_check: true,
            slice_on_record: true,
            revision_monotonic: true,
            release_repeat: true,
            retain: true,
            order: true,
            output_cut: true,
        }
    }
}

impl Safeguards {
    /// Names of all safeguards, as accepted by [`Safeguards::without`].
    pub const NAMES: &'static [&'static str] = &[
        "epoch_check",
        "call_started_record",
        "fence",
        "dedup",
        "claim_cas",
        "read_back",
        "lease_lapse",
        "retry_only_idempotent",
        "digest_check",
        "slice_on_record",
        "revision_monotonic",
        "release_repeat",
        "retain",
        "order",
        "output_cut",
    ];

    /// Returns all safeguards except the named one, or `None` if the name is unknown.
    #[must_use]
    pub fn without(name: &str) -> Option<Self> {
        let mut all = Self::default();
        let switch = match name {
            "epoch_check" => &mut all.epoch_check,
            "call_started_record" => &mut all.call_started_record,
            "fence" => &mut all.fence,
            "dedup" => &mut all.dedup,
            "claim_cas" => &mut all.claim_cas,
            "read_back" => &mut all.read_back,
            "lease_lapse" => &mut all.lease_lapse,
            "retry_only_idempotent" => &mut all.retry_only_idempotent,
            "digest_check" => &mut all.digest_check,
            "slice_on_record" => &mut all.slice_on_record,
            "revision_monotonic" => &mut all.revision_monotonic,
            "release_repeat" => &mut all.release_repeat,
            "retain" => &mut all.retain,
            "order" => &mut all.order,
            "output_cut" => &mut all.output_cut,
            _ => return None,
        };
        *switch = false;
        Some(all)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_name_disables_one_safeguard() {
        for name in Safeguards::NAMES {
            let without = Safeguards::without(name).expect("known name");
            assert_ne!(without, Safeguards::default(), "{name}");
        }
        assert_eq!(Safeguards::without("none"), None);
    }
}
