//! Divides programs' token budgets among processes, through the records of a log partition.
//!
//! A process reserves a *slice* of a program's budget before it sends a turn to a server, and
//! spends the slice without further calls. Slices are immutable records. A record is appended on
//! condition that the partition still ends where the process last read it, so that the sum of all
//! slices is known at that moment, and no process has to own a program.
//!
//! A process can be the *home* (coordinator) of a partition: its record there gives it a *standing
//! slice* of each program that has no records yet, so that a program starts without a call to
//! the store. The first record of a program counts the standing slices of all homes before it. Two
//! concurrent homes, or a lost one, cost a program a part of its budget but never give it more.
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

use crate::record_expiry::{RETENTION_FACTOR, is_expired, kept_until_unix_ms};
use crate::units::{SpanUs, Tokens};

/// A slice is the unreserved budget divided by this, and at least one turn. Smaller slices need
/// more appends; larger ones lose more of the budget with a lost process. With a quarter, half of
/// the users' programs need one slice, and six processes can hold slices of a program at once.
const SLICE_DIVISOR: u64 = 4;

/// The first home's standing slices are budgets halved this many times, each further home's once
/// more. What a lost home has granted is unknown, so programs that start in the minutes after its
/// loss can't use its standing slices: with a quarter, they still get three quarters of their
/// budgets, of which the users' programs use half. While the store is unavailable, a quarter is
/// enough for a turn or two.
const FIRST_HALVINGS: u32 = 2;

/// A reserved slice, identified by the key of its record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// The program.
    #[serde(rename = "p")]
    pub program: String,
    /// The number of tokens that the writer may spend; zero only marks the program as still
    /// running.
    #[serde(rename = "t")]
    pub tokens: Tokens,
    /// The address at which the writer can be asked to lend unused tokens.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<SocketAddr>,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// How long the program's budget is kept after its last turn, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
    /// The sum of the standing slices that count in addition to the program's records.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub standing: Tokens,
    /// The numbers of the homes that have those standing slices.
    #[serde(rename = "o", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<u64>,
    /// The number of tokens that the writer gives back of what the program's records count.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub returned: Tokens,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde calls it so")]
fn is_zero(tokens: &Tokens) -> bool {
    *tokens == Tokens(0)
}

/// A record that makes a process the home of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRecord {
    /// The address at which the process can be asked for parts of budgets.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The unique id of the process start.
    #[serde(rename = "i")]
    pub writer: String,
    /// The end offset of the partition before this record: unique, and highest for the latest home.
    #[serde(rename = "n")]
    pub number: u64,
    /// The number of times that a budget is halved for a standing slice.
    #[serde(rename = "e")]
    pub halvings: u32,
    /// When it was written, in Unix milliseconds by the writer's clock.
    #[serde(rename = "w")]
    pub recorded_unix_ms: u64,
    /// The longest retention of any program with a standing slice, in milliseconds.
    #[serde(rename = "r")]
    pub retain_ms: u64,
}

impl HomeRecord {
    /// Returns the key of the record. A process that becomes a home again gets another key: what it
    /// granted the first time still counts, unless it was recorded by an orderly release.
    #[must_use]
    pub fn key(&self) -> String {
        home_key(&self.writer, self.number)
    }

    /// Returns the home's standing slice of a program with this budget.
    #[must_use]
    pub fn standing(&self, budget: Tokens) -> Tokens {
        standing_slice(budget, self.halvings)
    }
}

/// Returns the standing slice of a program with this budget at a home with this many halvings.
#[must_use]
pub fn standing_slice(budget: Tokens, halvings: u32) -> Tokens {
    Tokens(budget.0.checked_shr(halvings).unwrap_or(0))
}

/// Returns what a home may grant to a program that it starts, for a turn of at most `turn`
/// tokens: its standing slice, but at least one whole turn if it is the first home.
///
/// A budget allows the turn during which it is reached. If the first home couldn't use that,
/// standing slices of small budgets would be too small for a turn, and such programs couldn't start
/// while the store is unavailable. Only the first home may, and [`BudgetView::decide`] deducts it
/// from slices.
#[must_use]
pub fn first_grant(budget: Tokens, halvings: u32, turn: Tokens) -> Tokens {
    let standing = standing_slice(budget, halvings);
    if halvings == FIRST_HALVINGS {
        standing.max(turn)
    } else {
        standing
    }
}

/// Returns the key of a home's record, by process start and home number.
#[must_use]
pub fn home_key(writer: &str, number: u64) -> String {
    format!("home/{writer}/{number}")
}

/// A record of a budget partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetRecord {
    /// A slice of a program's budget.
    #[serde(rename = "s")]
    Slice(SliceRecord),
    /// A home of the partition.
    #[serde(rename = "h")]
    Home(HomeRecord),
}

/// The result of [`BudgetView::decide`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceDecision {
    /// A slice may be appended.
    Reserve {
        /// The size of the slice.
        tokens: Tokens,
    },
    /// The whole budget is reserved.
    Exhausted,
}

/// A process's view of one partition, up to the offset that it has read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// The offset of the next record to read.
    pub end: u64,
    programs: BTreeMap<String, ProgramView>,
    homes: BTreeMap<String, HomeRecord>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ProgramView {
    slices: BTreeMap<String, Slice>,
    standing: Tokens,
    homes: BTreeSet<u64>,
    /// Until when its newest record is kept.
    kept_until_unix_ms: u64,
}

impl ProgramView {
    fn reserved(&self) -> Tokens {
        let granted: Tokens = self.slices.values().map(|slice| slice.tokens).sum();
        let returned = self.slices.values().map(|slice| slice.returned).sum();
        Tokens(granted.0 + self.standing.0).saturating_sub(returned)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Slice {
    tokens: Tokens,
    holder: Option<SocketAddr>,
    returned: Tokens,
}

impl BudgetView {
    /// Creates the view of a partition without records.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Applies a record; a record with a known key has no further effect.
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
        let kept_until = kept_until_unix_ms(record.recorded_unix_ms, record.retain_ms);
        program.kept_until_unix_ms = program.kept_until_unix_ms.max(kept_until);
        let slice = Slice {
            tokens: record.tokens,
            holder: record.holder,
            returned: record.returned,
        };
        program.slices.insert(key.to_owned(), slice);
    }

    /// Removes the record with a key that was dropped from the partition.
    pub fn drop_key(&mut self, key: &str) {
        if self.homes.remove(key).is_some() {
            return;
        }
        self.programs.retain(|_, program| {
            let had_slice = program.slices.remove(key).is_some();
            !(had_slice && program.slices.is_empty())
        });
    }

    /// Whether the partition has the record of a home with this key.
    #[must_use]
    pub fn has_home(&self, key: &str) -> bool {
        self.homes.contains_key(key)
    }

    /// Whether the partition has a slice with this key.
    #[must_use]
    pub fn has_slice(&self, key: &str) -> bool {
        let mut programs = self.programs.values();
        programs.any(|program| program.slices.contains_key(key))
    }

    /// Returns the size of the slice with this key, if the partition has it.
    #[must_use]
    pub fn slice_tokens(&self, program: &str, key: &str) -> Option<Tokens> {
        let slice = self.programs.get(program)?.slices.get(key)?;
        Some(slice.tokens)
    }

    /// Returns the reserved part of a program's budget: its slices and the standing slices of homes,
    /// less what was returned of them.
    #[must_use]
    pub fn reserved(&self, program: &str, budget: Tokens) -> Tokens {
        match self.programs.get(program) {
            Some(known) => known.reserved(),
            None => self.homes.values().map(|home| home.standing(budget)).sum(),
        }
    }

    /// Whether the program has any records.
    #[must_use]
    pub fn has_program(&self, program: &str) -> bool {
        self.programs.contains_key(program)
    }

    /// Returns until when the records of a program are kept, in Unix milliseconds by their writers' clocks.
    #[must_use]
    pub fn kept_until_unix_ms(&self, program: &str) -> Option<u64> {
        let known = self.programs.get(program)?;
        Some(known.kept_until_unix_ms)
    }

    /// Whether the home with this number has a standing slice of the program: either the program
    /// has no records yet, or they count it.
    #[must_use]
    pub fn has_standing_slice(&self, program: &str, home: u64) -> bool {
        let known = self.programs.get(program);
        known.is_none_or(|known| known.homes.contains(&home))
    }

    /// Returns the sizes of a program's slices, and the addresses of their holders.
    pub fn slices(&self, program: &str) -> impl Iterator<Item = (Tokens, Option<SocketAddr>)> {
        let known = self.programs.get(program);
        let slices = known.into_iter().flat_map(|known| known.slices.values());
        slices.map(|slice| (slice.tokens, slice.holder))
    }

    /// Returns the sum of the standing slices that a program's records count, if it has records.
    #[must_use]
    pub fn standing(&self, program: &str) -> Option<Tokens> {
        Some(self.programs.get(program)?.standing)
    }

    /// Returns all homes, ordered by number.
    #[must_use]
    pub fn homes(&self) -> Vec<&HomeRecord> {
        let mut homes: Vec<&HomeRecord> = self.homes.values().collect();
        homes.sort_by_key(|home| home.number);
        homes
    }

    /// Returns the addresses of the processes that hold slices of a program.
    #[must_use]
    pub fn holders(&self, program: &str) -> BTreeSet<SocketAddr> {
        let holders = self.slices(program).filter_map(|(_, holder)| holder);
        holders.collect()
    }

    /// Returns the latest home.
    #[must_use]
    pub fn latest_home(&self) -> Option<&HomeRecord> {
        self.homes.values().max_by_key(|home| home.number)
    }

    /// Returns the record that makes a process the next home. Its number of halvings is unused, so
    /// that the standing slices of all homes together are less than a whole budget.
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

    /// Returns the record of a new slice of a program, without times and holder.
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

    /// Decides on a further slice for a turn of at most `turn` tokens.
    ///
    /// The last slice may exceed the budget by less than one turn, since a budget allows the turn
    /// during which it is reached. What the first home may have granted beyond its standing slice
    /// is deducted.
    #[must_use]
    pub fn decide(&self, program: &str, budget: Tokens, turn: Tokens) -> SliceDecision {
        let left = budget.saturating_sub(self.reserved(program, budget));
        if left == Tokens(0) {
            return SliceDecision::Exhausted;
        }
        let overdraft = if self.counts_first_home(program, budget) {
            turn.min(standing_slice(budget, FIRST_HALVINGS))
        } else {
            turn
        };
        let tokens = Tokens(left.0 / SLICE_DIVISOR).max(turn);
        SliceDecision::Reserve {
            tokens: tokens.min(Tokens(left.0 + overdraft.0)),
        }
    }

    /// Whether the standing slice of a first home counts for the program. It exceeds the standing
    /// slices of all later homes together.
    fn counts_first_home(&self, program: &str, budget: Tokens) -> bool {
        if let Some(known) = self.programs.get(program) {
            return known.standing >= standing_slice(budget, FIRST_HALVINGS);
        }
        let mut homes = self.homes.values();
        homes.any(|home| home.halvings == FIRST_HALVINGS)
    }
}

/// How long a home may grant standing slices after it last confirmed that it is the latest home. It
/// is longer than outages of the store.
pub const HOME_LEASE_MS: u64 = 120_000;

/// Returns the keys of records that are no longer needed: those of programs that ended long ago,
/// and of homes whose standing slices belong only to such programs.
///
/// A program's slices expire together: without the older ones, its spent budget would be available
/// again. Each process that runs a program writes a record for it at least once per retention, so a
/// program whose newest record has expired isn't running anywhere.
///
/// A home's record expires after another home has replaced it, its lease has ended, and all
/// programs that it started have ended or have records that count it.
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
    let is_obsolete = |record: &BudgetRecord| match record {
        BudgetRecord::Slice(slice) => !is_live[slice.program.as_str()],
        BudgetRecord::Home(home) => latest.is_some_and(|latest| {
            let ended_unix_ms = latest.recorded_unix_ms.saturating_add(HOME_LEASE_MS);
            latest.number > home.number && is_expired(ended_unix_ms, home.retain_ms, now_unix_ms)
        }),
    };
    let obsolete = records.iter().filter(|(_, record)| is_obsolete(record));
    obsolete.map(|(key, _)| key.clone()).collect()
}

/// Returns whether a program needs a new record before a turn whose route retains budgets for `retention`, if
/// its records are kept for `kept_for` more.
///
/// They are needed for one retention after the program's last turn, and for another one by writers that were
/// paused. The records may be of turns on a route with a shorter retention.
#[must_use]
pub fn is_record_due(kept_for: SpanUs, retention: SpanUs) -> bool {
    kept_for.0 <= retention.0.saturating_mul(RETENTION_FACTOR - 1)
}

/// The part of a program's budget that one process holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProgramSlices {
    /// The sum of the process's slices.
    pub granted: Tokens,
    /// The tokens delivered to callers.
    pub spent: Tokens,
    /// The maximum that running turns may still deliver.
    pub outstanding: Tokens,
    /// The part of `granted` that is a home's standing slice.
    pub standing: Tokens,
    /// The tokens taken out of `granted` for turns that other processes run, less what they
    /// returned.
    pub handed_over: Tokens,
    /// The part of `granted` that no record counts: what a first home grants beyond its standing
    /// slice.
    pub uncounted: Tokens,
}

impl ProgramSlices {
    /// Whether the next slice should be reserved in advance.
    ///
    /// While the store is unavailable, a program can spend only what is held: with slices reserved
    /// on demand, it would fail after a turn or two. A program is expected to use as much again as
    /// it has used so far, so that much should be free, and at least one turn.
    #[must_use]
    pub fn is_low(&self, turn: Tokens) -> bool {
        let used = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(used);
        free < Tokens(used.0 + self.handed_over.0).max(turn)
    }

    /// Reserves a turn's maximum; returns false if the slices don't cover it.
    pub fn try_start(&mut self, turn: Tokens) -> bool {
        let committed = Tokens(self.spent.0 + self.outstanding.0 + turn.0);
        let fits = committed <= self.granted;
        if fits {
            self.outstanding.0 += turn.0;
        }
        fits
    }

    /// Reserves all free tokens for a turn that needs at least `least`; returns none if fewer are
    /// free.
    pub fn start_with_remaining(&mut self, least: Tokens) -> Option<Tokens> {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed);
        let can_start = free > Tokens(0) && free >= least;
        can_start.then(|| {
            self.outstanding.0 += free.0;
            free
        })
    }

    /// Lends tokens that no running turn needs: half of the free ones or `wanted`, whichever is
    /// more, but at most all of them. Less than `wanted` still helps, since a borrower combines
    /// several loans.
    pub fn lend(&mut self, wanted: Tokens) -> Tokens {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed);
        let lent = Tokens(free.0 / 2).max(wanted).min(free);
        self.granted = self.granted.saturating_sub(lent);
        lent
    }

    /// Gives up the standing slice, and returns the used part of it, which has no record yet.
    pub fn release_standing(&mut self) -> Tokens {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed).min(self.standing);
        let used = self.standing.saturating_sub(free);
        self.granted = self.granted.saturating_sub(free);
        self.standing = Tokens(0);
        used
    }

    /// Adds a home's standing slice, of which records count `counted`.
    pub fn grant_standing(&mut self, tokens: Tokens, counted: Tokens) {
        self.standing = tokens;
        self.granted.0 += tokens.0;
        self.uncounted.0 += tokens.saturating_sub(counted).0;
    }

    /// Gives up all tokens that no turn needs, and returns how many of them the program's records
    /// count.
    pub fn release_unused(&mut self) -> Tokens {
        let committed = Tokens(self.spent.0 + self.outstanding.0);
        let free = self.granted.saturating_sub(committed);
        self.granted = self.granted.saturating_sub(free);
        free.saturating_sub(self.uncounted)
    }

    /// Transfers a started turn to another process, which runs it.
    pub fn hand_over(&mut self, turn: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(turn);
        self.granted = self.granted.saturating_sub(turn);
        self.handed_over.0 += turn.0;
    }

    /// Takes back what a transferred turn did not deliver.
    pub fn take_back(&mut self, tokens: Tokens) {
        self.granted.0 += tokens.0;
        self.handed_over = self.handed_over.saturating_sub(tokens);
    }

    /// Ends a turn that was started with `turn` and delivered `spent`.
    pub fn finish(&mut self, turn: Tokens, spent: Tokens) {
        self.outstanding = self.outstanding.saturating_sub(turn);
        self.spent.0 += spent.0;
    }
}
