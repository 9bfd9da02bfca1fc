//! Switches that take one safeguard out, to show in test runs that its absence is noticed.

/// Which safeguards are in force; all of them unless a test run says otherwise.
///
/// For test runs only: a daemon never sets these.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each safeguard is taken out on its own"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Safeguards {
    /// A sidecar refuses an owner whose epoch is older than the highest seen.
    pub epoch_check: bool,
    /// A non-idempotent call is put on record before it is sent.
    pub call_started_record: bool,
    /// Open calls of an earlier owner are fenced at their sidecar before anything else is done.
    pub fence: bool,
    /// A repeat of a call is given the first one's answer.
    pub dedup: bool,
    /// A claim is in force only over the claim that it names.
    pub claim_cas: bool,
    /// An owner acts on its records only after it has read them back.
    pub read_back: bool,
    /// A sidecar frees cache whose lease was not renewed.
    pub lease_lapse: bool,
    /// Only idempotent calls are tried again after they were sent on.
    pub retry_only_idempotent: bool,
    /// Turns and transcripts are checked against the chain of the history.
    pub digest_check: bool,
    /// Spending happens only out of slices that are on record.
    pub slice_on_record: bool,
    /// A document's revision never goes down in a process.
    pub revision_monotonic: bool,
    /// Orders to free the cache of an ended program are repeated until confirmed.
    pub release_repeat: bool,
    /// Calls of one program wait for each other.
    pub order: bool,
    /// A sidecar cuts a turn off that runs over the tokens reserved for it.
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
            order: true,
            output_cut: true,
        }
    }
}

impl Safeguards {
    /// The names of all safeguards, as [`Safeguards::without`] takes them.
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
        "order",
        "output_cut",
    ];

    /// All safeguards but the one of this name; `None` when there is none such.
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
    fn each_name_takes_one_safeguard_out() {
        for name in Safeguards::NAMES {
            let without = Safeguards::without(name).expect("a known name");
            assert_ne!(without, Safeguards::default(), "{name}");
        }
        assert_eq!(Safeguards::without("none"), None);
    }
}
