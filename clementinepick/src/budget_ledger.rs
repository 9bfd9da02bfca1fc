//! What programs may still generate, agreed on by the order of one partition of a log.
//!
//! A process reserves a *slice* of a program's budget before it sends a turn on, and spends the slice
//! without asking again. Slices are records that never change. One is appended under the condition
//! that the partition still ends where the process last read it, so that the sum of all slices is
//! known at that moment, and no process has to own a program.
//!
//! A process may be the *home* of a partition: its record there gives it a *standing slice* of each
//! program that has no records yet, so that a program begins without a call to the store. Who writes
//! a program's first record counts the standing slices of all homes that came before it. Two homes
//! at a time, or one that is lost, cost a program a part of its budget and never give it more.
//!
//! ```
//! use clementinepick::budget_ledger::{BudgetRecord, BudgetView, HomeRecord, SliceDecision};
//! use clementinepick::units::Tokens;
//!
//! let mut view = BudgetView::empty();
//! let first = view.decide("p", Tokens(1_000), Tokens(200));
//! assert_eq!(first, SliceDecision::Reserve { tokens: Tokens(250) });
//! let address = "10.0.0.1:80".parse().unwrap();
//! view.apply("home/start-1", &BudgetRecord::Home(view.next_home(address, "start-1")));
//! assert_eq!(view.reserved("p", Tokens(1_000)), Tokens(250));
//! let next = view.slice("p", Tokens(1_000), Tokens(750));
//! view.apply("p/a", &BudgetRecord::Slice(next));
//! assert_eq!(view.decide("p", Tokens(1_000), Tokens(200)), SliceDecision::Exhausted);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::record_expiry::is_expired;
use crate::units::Tokens;

/// A slice is this part of what is left of a budget, and at least one turn. With a quarter, half the
/// programs of the users' workloads need one slice, and six processes can hold slices of one program
/// before its budget is reserved. With a half, processes that are lost take so much with them that
/// 1 to 2 in 100 programs are told too early that their budget is spent; with a quarter, and lending
/// between processes, 1 in 1,000.
const SLICE_DIVISOR: u64 = 4;

/// The first home's standing slices are budgets halved so many times, the next one's once more. What
/// a lost home gave out is unknown, so that programs which begin in the minutes after its loss can't
/// have its standing slices: with a quarter, they still get three quarters of their budgets, and the
/// users' programs use half. With a half, 1 in 10 programs was told too early that its budget is spent
/// after a loss of all processes; while the store is away, a quarter is enough for a turn or two.
const FIRST_HALVINGS: u32 = 2;

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
    /// The sum of the standing slices that count beside the program's records.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub standing: Tokens,
    /// The numbers of the homes whose standing slices those are.
    #[serde(rename = "o", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<u64>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde calls it so")]
fn is_zero(tokens: &Tokens) -> bool {
    *tokens == Tokens(0)
}

/// Makes a process the home of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRecord {
    /// Where the process can be asked for parts of budgets.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The start of the process; no other start has the same.
    #[serde(rename = "i")]
    pub writer: String,
    /// Where the partition ended before it: unlike any other's, and the latest home has the highest.
    #[serde(rename = "n")]
    pub number: u64,
    /// Its standing slices are budgets halved so many times.
    #[serde(rename = "e")]
    pub halvings: u32,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// The longest retention of a program that may have a standing slice, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
}

impl HomeRecord {
    /// The key of the record. A process that becomes a home again has another one: what it gave out the
    /// first time counts on, unless it was recorded with a planned end.
    #[must_use]
    pub fn key(&self) -> String {
        home_key(&self.writer, self.number)
    }

    /// The home's standing slice of each program with this budget.
    #[must_use]
    pub fn standing(&self, budget: Tokens) -> Tokens {
        standing_slice(budget, self.halvings)
    }
}

/// The standing slice of a program with this budget at a home with so many halvings.
#[must_use]
pub fn standing_slice(budget: Tokens, halvings: u32) -> Tokens {
    Tokens(budget.0.checked_shr(halvings).unwrap_or(0))
}

/// What a home may give out of a program that it begins, for a turn that generates at most `turn`: its
/// standing slice, and the whole of one turn if it is the first home.
///
/// A budget allows the turn during which it is reached. Without this part of it, the standing slices of
/// small budgets hold no turn: such programs needed the store to begin, and none of them could while it
/// was away. The first home alone has it, and [`BudgetView::decide`] leaves it out of slices.
#[must_use]
pub fn first_grant(budget: Tokens, halvings: u32, turn: Tokens) -> Tokens {
    let standing = standing_slice(budget, halvings);
    if halvings == FIRST_HALVINGS {
        standing.max(turn)
    } else {
        standing
    }
}

/// The key of the record of a home, by its start and number.
#[must_use]
pub fn home_key(writer: &str, number: u64) -> String {
    format!("home/{writer}/{number}")
}

/// A record of a partition of budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetRecord {
    /// A slice of a program's budget.
    #[serde(rename = "s")]
    Slice(SliceRecord),
    /// A home.
    #[serde(rename = "h")]
    Home(HomeRecord),
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
    Exhausted,
}

/// What one process has read of one partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// The offset up to which the partition was read.
    pub end: u64,
    programs: BTreeMap<String, ProgramView>,
    homes: BTreeMap<String, HomeRecord>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ProgramView {
    slices: BTreeMap<String, Slice>,
    standing: Tokens,
    homes: BTreeSet<u64>,
}

impl ProgramView {
    fn sum(&self) -> Tokens {
        self.slices.values().map(|slice| slice.tokens).sum()
    }
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
    pub fn apply(&mut self, key: &str, record: &BudgetRecord) {
        match record {
            BudgetRecord::Slice(slice) => self.apply_slice(key, slice),
            BudgetRecord::Home(home) => {
                self.homes.insert(key.to_owned(), home.clone());
            }
        }
    }

    fn apply_slice(&mut self, key: &str, record: &SliceRecord) {
        let program = self.programs.entry(record.program.clone()).or_default();
        program.standing = program.standing.max(record.standing);
        program.homes.extend(&record.homes);
        let slice = Slice {
            tokens: record.tokens,
            holder: record.holder,
        };
        program.slices.insert(key.to_owned(), slice);
    }

    /// Forgets a record whose key was dropped.
    pub fn drop_key(&mut self, key: &str) {
        if self.homes.remove(key).is_some() {
            return;
        }
        self.programs.retain(|_, program| {
            let was_there = program.slices.remove(key).is_some();
            !(was_there && program.slices.is_empty())
        });
    }

    /// Whether the record of a home with this key is in the partition.
    #[must_use]
    pub fn has_home(&self, key: &str) -> bool {
        self.homes.contains_key(key)
    }

    /// The size of the slice with this key, if it is in the partition.
    #[must_use]
    pub fn slice_tokens(&self, program: &str, key: &str) -> Option<Tokens> {
        let slice = self.programs.get(program)?.slices.get(key)?;
        Some(slice.tokens)
    }

    /// What of a program's budget is given out: its slices, and the standing slices of homes.
    #[must_use]
    pub fn reserved(&self, program: &str, budget: Tokens) -> Tokens {
        match self.programs.get(program) {
            Some(known) => Tokens(known.sum().0 + known.standing.0),
            None => self.homes.values().map(|home| home.standing(budget)).sum(),
        }
    }

    /// Whether the program has records.
    #[must_use]
    pub fn has_program(&self, program: &str) -> bool {
        self.programs.contains_key(program)
    }

    /// Whether the home with this number has a standing slice of the program: the program has no
    /// records, or the first of them counts it.
    #[must_use]
    pub fn has_standing_slice(&self, program: &str, home: u64) -> bool {
        let known = self.programs.get(program);
        known.is_none_or(|known| known.homes.contains(&home))
    }

    /// The slices of a program: sizes, and where their holders can be asked.
    pub fn slices(&self, program: &str) -> impl Iterator<Item = (Tokens, Option<SocketAddr>)> {
        let known = self.programs.get(program);
        let slices = known.into_iter().flat_map(|known| known.slices.values());
        slices.map(|slice| (slice.tokens, slice.holder))
    }

    /// The standing slices that a program's records count; none where it has no records.
    #[must_use]
    pub fn standing(&self, program: &str) -> Option<Tokens> {
        Some(self.programs.get(program)?.standing)
    }

    /// All homes, by number.
    #[must_use]
    pub fn homes(&self) -> Vec<&HomeRecord> {
        let mut homes: Vec<&HomeRecord> = self.homes.values().collect();
        homes.sort_by_key(|home| home.number);
        homes
    }

    /// Where the processes that hold slices of a program can be asked.
    #[must_use]
    pub fn holders(&self, program: &str) -> BTreeSet<SocketAddr> {
        let holders = self.slices(program).filter_map(|(_, holder)| holder);
        holders.collect()
    }

    /// The latest home.
    #[must_use]
    pub fn latest_home(&self) -> Option<&HomeRecord> {
        self.homes.values().max_by_key(|home| home.number)
    }

    /// The record that makes a process the next home; its standing slices and those of the homes
    /// that are there are less than a whole budget.
    #[must_use]
    pub fn next_home(&self, address: SocketAddr, writer: &str) -> HomeRecord {
        let is_free = |halvings: &u32| self.homes.values().all(|home| home.halvings != *halvings);
        HomeRecord {
            address,
            writer: writer.to_owned(),
            number: self.end,
            halvings: (FIRST_HALVINGS..u32::MAX).find(is_free).unwrap_or(u32::MAX),
            recorded_unix_ms: 0,
            retain_ms: 0,
        }
    }

    /// A slice of a program as this view counts it, without times and holder.
    #[must_use]
    pub fn slice(&self, program: &str, budget: Tokens, tokens: Tokens) -> SliceRecord {
        let (standing, homes) = match self.programs.get(program) {
            Some(known) => (known.standing, known.homes.clone()),
            None => (
                self.reserved(program, budget),
                self.homes.values().map(|home| home.number).collect(),
            ),
        };
        SliceRecord {
            program: program.to_owned(),
            tokens,
            standing,
            homes,
            ..SliceRecord::default()
        }
    }

    /// Decides over one more slice for a turn that generates at most `turn`.
    ///
    /// The last slice may exceed the budget by less than one turn, since the budget allows the turn
    /// during which it is reached; less that part of a turn that the first home may have given out
    /// beyond its standing slice.
    #[must_use]
    pub fn decide(&self, program: &str, budget: Tokens, turn: Tokens) -> SliceDecision {
        let left = budget.saturating_sub(self.reserved(program, budget));
        if left == Tokens(0) {
            return SliceDecision::Exhausted;
        }
        let beyond = if self.counts_first_home(program, budget) {
            turn.min(standing_slice(budget, FIRST_HALVINGS))
        } else {
            turn
        };
        let tokens = Tokens(left.0 / SLICE_DIVISOR).max(turn);
        SliceDecision::Reserve {
            tokens: tokens.min(Tokens(left.0 + beyond.0)),
        }
    }

    /// Whether the standing slice of a first home counts for the program. The standing slices of all
    /// later homes together are less than that of a first one.
    fn counts_first_home(&self, program: &str, budget: Tokens) -> bool {
        if let Some(known) = self.programs.get(program) {
            return known.standing >= standing_slice(budget, FIRST_HALVINGS);
        }
        let mut homes = self.homes.values();
        homes.any(|home| home.halvings == FIRST_HALVINGS)
    }
}

/// For how long a home may give out standing slices after it last saw that it is the latest, in
/// milliseconds. Outages of the store are shorter; what is given out later must be asked for there.
pub const HOME_LEASE_MS: u64 = 120_000;

/// The keys of a partition's records that are needed no more: those of programs that ended long
/// ago, and of homes whose standing slices none but such programs can have.
///
/// A program's slices go together or not at all: with only the older ones gone, its budget would
/// count less than was spent. Each process that runs a program writes a record for it at least once
/// in a retention, so that a program whose newest record has expired runs nowhere.
///
/// A home goes when another one came after it, its lease has ended, and all programs that it began
/// have ended or have records that count it.
#[must_use]
pub fn expired_keys(records: &[(String, BudgetRecord)], now_unix_ms: u64) -> Vec<String> {
    let mut is_live: BTreeMap<&str, bool> = BTreeMap::new();
    let mut latest: Option<&HomeRecord> = None;
    for (_, record) in records {
        match record {
            BudgetRecord::Slice(slice) => {
                let expired = is_expired(slice.recorded_unix_ms, slice.retain_ms, now_unix_ms);
                *is_live.entry(&slice.program).or_default() |= !expired;
            }
            BudgetRecord::Home(home) => {
                let is_later = latest.is_none_or(|latest| home.number > latest.number);
                latest = if is_later { Some(home) } else { latest };
            }
        }
    }
    let is_needless = |record: &BudgetRecord| match record {
        BudgetRecord::Slice(slice) => !is_live[slice.program.as_str()],
        BudgetRecord::Home(home) => latest.is_some_and(|latest| {
            let ended_unix_ms = latest.recorded_unix_ms.saturating_add(HOME_LEASE_MS);
            latest.number > home.number && is_expired(ended_unix_ms, home.retain_ms, now_unix_ms)
        }),
    };
    let ended = records.iter().filter(|(_, record)| is_needless(record));
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
    /// The part of `granted` that is a home's standing slice.
    pub standing: Tokens,
    /// What turns that other processes run have of `granted` no more, less what came back.
    pub handed_over: Tokens,
}

impl ProgramSlices {
    /// Whether the next slice should be reserved before a turn asks for it.
    ///
    /// While the store is away, a program goes on with what is held. With slices reserved only when
    /// a turn needs them, nine in ten programs that met an outage of 7 s had a turn or two left and
    /// failed. How long a program is going to run is unknown; on average it is as long again as it
    /// has run so far, so that as much as it has used should be free, and one turn at least.
    #[must_use]
    pub fn is_low(&self, turn: Tokens) -> bool {
        let used = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(used);
        free < Tokens(used.0 + self.handed_over.0).max(turn)
    }

    /// Sets a turn's maximum aside; false when the slices do not hold it.
    pub fn try_start(&mut self, turn: Tokens) -> bool {
        let committed = Tokens(self.spent.0 + self.outstanding.0 + turn.0);
        let fits = committed <= self.granted;
        if fits {
            self.outstanding.0 += turn.0;
        }
        fits
    }

    /// Sets all that is free aside for a turn that needs `least` at the least; none where less is free.
    pub fn start_with_remaining(&mut self, least: Tokens) -> Option<Tokens> {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed);
        let starts = free > Tokens(0) && free >= least;
        starts.then(|| {
            self.outstanding.0 += free.0;
            free
        })
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

    /// Gives the standing slice up, and returns how much of it was used: what has no record yet.
    pub fn release_standing(&mut self) -> Tokens {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed).min(self.standing);
        let used = self.standing.saturating_sub(free);
        self.granted = self.granted.saturating_sub(free);
        self.standing = Tokens(0);
        used
    }

    /// Hands a turn that was started over to another process, which runs it.
    pub fn hand_over(&mut self, turn: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(turn);
        self.granted = self.granted.saturating_sub(turn);
        self.handed_over.0 += turn.0;
    }

    /// Takes back what a turn elsewhere did not hand out.
    pub fn take_back(&mut self, tokens: Tokens) {
        self.granted.0 += tokens.0;
        self.handed_over = self.handed_over.saturating_sub(tokens);
    }

    /// Ends a turn that was started with `turn` and handed out `spent`.
    pub fn finish(&mut self, turn: Tokens, spent: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(turn);
        self.spent.0 += spent.0;
    }
}
