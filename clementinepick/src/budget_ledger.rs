//! What programs may still generate, agreed on by the order of one partition of a log.
//!
//! A process reserves a *slice* of a program's budget before it sends a turn on, and spends the slice
//! without asking again. Slices are records that never change. One is appended under the condition
//! that the partition still ends where the process last read it, so that the sum of all slices is
//! known at that moment, and no process has to own a program.
//!
//! ```
//! use clementinepick::budget_ledger::{BudgetView, SliceDecision, SliceRecord};
//! use clementinepick::units::Tokens;
//!
//! let mut view = BudgetView::empty();
//! let first = view.decide("p", Tokens(1_000), Tokens(200));
//! assert_eq!(first, SliceDecision::Reserve { tokens: Tokens(250) });
//! let record = SliceRecord { program: "p".into(), tokens: Tokens(1_000), ..SliceRecord::default() };
//! view.apply("p/a", &record);
//! assert_eq!(view.decide("p", Tokens(1_000), Tokens(200)), SliceDecision::Spent);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::record_age::is_expired;
use crate::units::Tokens;

/// A slice is this part of what is left of a budget, and at least one turn. With a quarter, half the
/// programs of the users' workloads need one slice, and six processes can hold slices of one program
/// before its budget is reserved. With a half, processes that are lost take so much with them that
/// 1 to 2 in 100 programs are told too early that their budget is spent; with a quarter, and lending
/// between processes, 1 in 1,000.
const SLICE_DIVISOR: u64 = 4;

/// One reserved slice; its record's key makes it unique.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// The program.
    #[serde(rename = "p")]
    pub program: String,
    /// How many tokens the writer may hand out; zero only says that the program still runs.
    #[serde(rename = "t")]
    pub tokens: Tokens,
    /// Where the writer can be asked for what it does not need.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<SocketAddr>,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// How long the program's budget must count on after its last turn, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
}

/// Whether a program may have one more slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceDecision {
    /// Append a slice of this size.
    Reserve {
        /// The size.
        tokens: Tokens,
    },
    /// All is reserved.
    Spent,
}

/// What one process has read of one partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// The offset up to which the partition was read.
    pub end: u64,
    slices: BTreeMap<String, BTreeMap<String, Slice>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slice {
    tokens: Tokens,
    holder: Option<SocketAddr>,
}

impl BudgetView {
    /// The view of a partition that has no records.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Takes a record that was read; a key that was seen before changes nothing.
    pub fn apply(&mut self, key: &str, record: &SliceRecord) {
        self.slices
            .entry(record.program.clone())
            .or_default()
            .insert(
                key.to_owned(),
                Slice {
                    tokens: record.tokens,
                    holder: record.holder,
                },
            );
    }

    /// The size of the slice with this key, if it is in the partition.
    #[must_use]
    pub fn tokens(&self, program: &str, key: &str) -> Option<Tokens> {
        let slice = self.slices.get(program)?.get(key)?;
        Some(slice.tokens)
    }

    /// The sum of a program's slices.
    #[must_use]
    pub fn reserved(&self, program: &str) -> Tokens {
        self.slices
            .get(program)
            .map_or(Tokens(0), |slices| slices.values().map(|s| s.tokens).sum())
    }

    /// Where the processes that hold slices of a program can be asked.
    #[must_use]
    pub fn holders(&self, program: &str) -> BTreeSet<SocketAddr> {
        let slices = self.slices.get(program).into_iter().flatten();
        slices.filter_map(|(_, slice)| slice.holder).collect()
    }

    /// Decides over one more slice for a turn that generates at most `turn`.
    ///
    /// The last slice may exceed the budget by less than one turn: the budget allows the turn
    /// during which it is reached.
    #[must_use]
    pub fn decide(&self, program: &str, budget: Tokens, turn: Tokens) -> SliceDecision {
        let left = budget.saturating_sub(self.reserved(program));
        if left == Tokens(0) {
            return SliceDecision::Spent;
        }
        let tokens = Tokens(left.0 / SLICE_DIVISOR).max(turn);
        SliceDecision::Reserve { tokens }
    }
}

/// The keys of the programs in a partition that ended long ago.
///
/// A program's slices go together or not at all: with only the older ones gone, its budget would
/// count less than was spent. Each process that runs a program writes a record for it at least once
/// in a retention, so that a program whose newest record has expired runs nowhere.
#[must_use]
pub fn expired_slices(records: &[(String, SliceRecord)], now_unix_ms: u64) -> Vec<String> {
    let mut is_live: BTreeMap<&str, bool> = BTreeMap::new();
    for (_, record) in records {
        let expired = is_expired(record.recorded_unix_ms, record.retain_ms, now_unix_ms);
        *is_live.entry(&record.program).or_default() |= !expired;
    }
    let ended = records
        .iter()
        .filter(|(_, record)| !is_live[record.program.as_str()]);
    ended.map(|(key, _)| key.clone()).collect()
}

/// What one process holds of one program's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProgramSlices {
    /// The sum of its own slices.
    pub granted: Tokens,
    /// What was handed to callers.
    pub spent: Tokens,
    /// The most that running turns may still hand out.
    pub outstanding: Tokens,
}

impl ProgramSlices {
    /// Sets a turn's maximum aside; false when the slices do not hold it.
    pub fn try_start(&mut self, turn: Tokens) -> bool {
        let committed = Tokens(self.spent.0 + self.outstanding.0 + turn.0);
        let fits = committed <= self.granted;
        if fits {
            self.outstanding.0 += turn.0;
        }
        fits
    }

    /// Gives away what no running turn may need: half of it or `wanted`, whichever is more, and all
    /// where that is less, since the asker may put several such rests together.
    pub fn lend(&mut self, wanted: Tokens) -> Tokens {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed);
        let lent = Tokens(free.0 / 2).max(wanted).min(free);
        self.granted = self.granted.saturating_sub(lent);
        lent
    }

    /// Ends a turn that was started with `turn` and handed out `spent`.
    pub fn finish(&mut self, turn: Tokens, spent: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(turn);
        self.spent.0 += spent.0;
    }
}
