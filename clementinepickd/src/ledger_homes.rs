//! The homes of partitions of budgets: which partitions this process is the home of, and whom to
//! ask for the others.
//!
//! A home is a short way, not an owner: any process that can't reach it decides by the store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{BudgetRecord, BudgetView, HomeRecord, SliceRecord};
use clementinepick::peer_liveness::PeerLiveness;
use clementinepick::units::SpanUs;
use futures_util::future::join_all;
use platform::store::KeyedRecord;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::directory::PeerEntry;
use crate::ledger::{LedgerError, Partition, to_cbor};
use crate::ledger_budgets::{Budgets, UsedStanding};
use crate::ledger_partitions::{HeldHome, PartitionState};
use crate::monotonic_clock::MonotonicClock;
use crate::unix_time::unix_ms;

/// How long a call for one partition may take.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// How many partitions are looked at in one step, of which there are four a second: a process that
/// has started is the home of its share of 96 partitions within two seconds.
const PARTITIONS_A_STEP: usize = 8;
/// How often a home looks whether it still is the latest where it has nothing to write: four times
/// in its lease.
const LOOK_AGAIN: Duration = Duration::from_secs(30);
/// The least retention that a home's record has, in milliseconds: a configuration that comes later
/// may let programs rest for longer than the one of now.
const MIN_RETAIN_MS: u64 = 300_000;
/// How many turns' runners, and how many lines' servers, a home remembers: those of half a minute at
/// the size that is designed for, in 400 kB each.
const MAX_RECENT: usize = 2_048;
/// How often a release is tried where others write to the partition at the same time.
const MAX_RELEASE_ROUNDS: u32 = 4;

/// What was noted lately by name; the oldest is forgotten first.
pub(crate) struct FifoCache<V> {
    values: BTreeMap<String, V>,
    by_age: VecDeque<String>,
}

impl<V> Default for FifoCache<V> {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            by_age: VecDeque::new(),
        }
    }
}

impl<V> FifoCache<V> {
    pub(crate) fn get(&self, name: &str) -> Option<&V> {
        self.values.get(name)
    }

    pub(crate) fn insert(&mut self, name: &str, value: V) {
        let before = self.values.insert(name.to_owned(), value);
        if before.is_none() {
            self.by_age.push_back(name.to_owned());
        }
        if self.by_age.len() > MAX_RECENT
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.values.remove(&oldest);
        }
    }
}

/// Which process is the home of what, as one process knows it.
pub(crate) struct Homes {
    budgets: Rc<Budgets>,
    /// The processes by which `wanted` was found.
    processes: RefCell<Vec<PeerEntry>>,
    /// Those of them that were lost then.
    lost: RefCell<BTreeSet<SocketAddr>>,
    /// Partitions whose home this process should be and that were not looked at yet.
    wanted: RefCell<Vec<Partition>>,
    /// Homes that answers named.
    known: RefCell<BTreeMap<Partition, SocketAddr>>,
    liveness: RefCell<PeerLiveness>,
    clock: MonotonicClock,
    /// Who ran the turns that this home lent for.
    pub(crate) runners: RefCell<FifoCache<SocketAddr>>,
    /// The servers that ran the last turns of lines.
    pub(crate) line_servers: RefCell<FifoCache<String>>,
    /// The longest retention of any program, in milliseconds.
    retain_ms: Cell<u64>,
    is_released: Cell<bool>,
}

impl Homes {
    pub(crate) fn new(budgets: Rc<Budgets>) -> Self {
        Self {
            budgets,
            processes: RefCell::default(),
            lost: RefCell::default(),
            wanted: RefCell::default(),
            known: RefCell::default(),
            liveness: RefCell::default(),
            clock: MonotonicClock::starting_at(Instant::now()),
            runners: RefCell::default(),
            line_servers: RefCell::default(),
            retain_ms: Cell::new(MIN_RETAIN_MS),
            is_released: Cell::new(false),
        }
    }

    /// Whom to ask for a program's budget; none if that is this process, or nobody is known who
    /// has answered lately.
    pub(crate) fn remote_home(&self, program: &str, now: Instant) -> Option<SocketAddr> {
        let partition = self.budgets.store.budget_partition(program);
        let known = self.known.borrow().get(&partition).copied();
        let known = known.filter(|home| !self.lost.borrow().contains(home));
        let first = || first_rank(partition, &self.processes.borrow(), &self.lost.borrow());
        let home = known.or_else(first)?;
        (home != self.budgets.address && !self.is_silent(home, now)).then_some(home)
    }

    /// Whether a peer lately did not answer.
    pub(crate) fn is_silent(&self, peer: SocketAddr, now: Instant) -> bool {
        let now = self.clock.at(now);
        self.liveness.borrow().is_silent(now, peer)
    }

    /// Notes that a peer did not answer.
    pub(crate) fn record_peer_timeout(&self, peer: SocketAddr, now: Instant) {
        let now = self.clock.at(now);
        self.liveness.borrow_mut().record_failure(now, peer);
    }

    /// Notes that a peer answered.
    pub(crate) fn record_peer_response(&self, peer: SocketAddr) {
        self.liveness.borrow_mut().record_response(peer);
    }

    /// Notes which process is the home of a program's partition.
    pub(crate) fn set_known_home(&self, program: &str, home: SocketAddr) {
        let partition = self.budgets.store.budget_partition(program);
        self.known.borrow_mut().insert(partition, home);
    }

    /// Forgets which process is the home of a program's partition.
    pub(crate) fn clear_known_home(&self, program: &str) {
        let partition = self.budgets.store.budget_partition(program);
        self.known.borrow_mut().remove(&partition);
    }

    /// Becomes the home of a few partitions, and looks whether it still is of others.
    ///
    /// `retention` is the longest that any program's budget must count on.
    pub(crate) async fn step(&self, processes: &[PeerEntry], retention: SpanUs, now: Instant) {
        self.retain_ms.set(retention.as_ms().max(MIN_RETAIN_MS));
        if self.is_released.get() || self.budgets.store.client.is_unavailable() {
            return;
        }
        self.note_processes(processes, now);
        for _ in 0..PARTITIONS_A_STEP {
            let Some(partition) = self.wanted.borrow_mut().pop() else {
                break;
            };
            let taken = self.take(partition, now + CALL_LIMIT).await;
            if taken.is_err() {
                // The store did not answer; the partition's turn comes again.
                self.wanted.borrow_mut().push(partition);
                return;
            }
        }
        let is_due = |state: &PartitionState| {
            let home = state.home.get();
            home.is_some_and(|home| now.saturating_duration_since(home.confirmed_at) >= LOOK_AGAIN)
        };
        let held = self.budgets.homes();
        let due = held.iter().filter(|(_, state)| is_due(state));
        for (partition, state) in due.take(PARTITIONS_A_STEP) {
            // A look that fails is made again; without one, the lease ends.
            let _ = self.look(*partition, state, now + CALL_LIMIT).await;
        }
    }

    fn note_processes(&self, processes: &[PeerEntry], now: Instant) {
        let before = self.processes.replace(processes.to_vec());
        for process in processes.iter().filter(|p| !before.contains(p)) {
            self.record_peer_response(process.address);
        }
        let lost = self.liveness.borrow().lost(self.clock.at(now));
        let lost_before = self.lost.replace(lost.clone());
        if before == processes && lost_before == lost {
            return;
        }
        self.known.borrow_mut().clear();
        let own = Some(self.budgets.address);
        let is_ours = |p: &Partition| first_rank(*p, processes, &lost) == own;
        let all = self.budgets.store.budget_partitions();
        *self.wanted.borrow_mut() = all.filter(is_ours).collect();
    }

    /// Makes this process the home of a partition, unless another one that lives is.
    async fn take(&self, partition: Partition, deadline: Instant) -> Result<(), LedgerError> {
        let state = self.budgets.partition(partition, Instant::now());
        let _in_use = state.in_use.lock().await;
        if state.home.get().is_some() {
            return Ok(());
        }
        let mut written_at = None;
        loop {
            let latest = state.view.borrow().latest_home().cloned();
            match latest {
                Some(home) if home.writer == self.budgets.writer && written_at.is_some() => {
                    state.home.set(written_at.map(|confirmed_at| HeldHome {
                        number: home.number,
                        halvings: home.halvings,
                        confirmed_at,
                    }));
                    return Ok(());
                }
                Some(home) if self.lives(&home) => {
                    let mut known = self.known.borrow_mut();
                    known.insert(partition, home.address);
                    return Ok(());
                }
                _ => {}
            }
            let record = self.next_record(&state.view.borrow());
            let records = [KeyedRecord {
                key: record.key(),
                value: Some(to_cbor(&BudgetRecord::Home(record))),
            }];
            let begun = Instant::now();
            let append = self
                .budgets
                .append_next(partition, &state, &records, deadline);
            append.await?;
            let is_written = state.view.borrow().has_home(&records[0].key);
            written_at = is_written.then_some(begun);
        }
    }

    /// Whether the process that is a home still runs, as far as its entry says.
    fn lives(&self, home: &HomeRecord) -> bool {
        let processes = self.processes.borrow();
        let is_it = |p: &PeerEntry| p.address == home.address && p.writer == home.writer;
        let is_lost = self.lost.borrow().contains(&home.address);
        home.address != self.budgets.address && !is_lost && processes.iter().any(is_it)
    }

    fn next_record(&self, view: &BudgetView) -> HomeRecord {
        HomeRecord {
            recorded_unix_ms: unix_ms(),
            retain_ms: self.retain_ms.get(),
            ..view.next_home(self.budgets.address, &self.budgets.writer)
        }
    }

    /// Looks whether this process still is the latest home; if not, it ends being one.
    async fn look(
        &self,
        partition: Partition,
        state: &Rc<PartitionState>,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let in_use = state.in_use.lock().await;
        self.budgets.catch_up(partition, state, deadline).await?;
        let latest = state.view.borrow().latest_home().map(|home| home.number);
        let held = state.home.get().map(|home| home.number);
        drop(in_use);
        if latest != held {
            self.release(partition, state, deadline).await?;
        }
        Ok(())
    }

    /// Ends being the home of a partition: what was used of standing slices is recorded, and the
    /// home's record goes with the same append.
    ///
    /// Without this, each planned restart would cost each program of the partition a standing
    /// slice. If the append fails, the home's record stays, and its standing slices count as used.
    async fn release(
        &self,
        partition: Partition,
        state: &Rc<PartitionState>,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let _in_use = state.in_use.lock().await;
        let Some(held) = state.home.take() else {
            return Ok(());
        };
        let used = self.budgets.end_standing(partition);
        for _ in 0..MAX_RELEASE_ROUNDS {
            let records = self.release_records(&state.view.borrow(), &held, &used);
            let append = self
                .budgets
                .append_next(partition, state, &records, deadline);
            append.await?;
            let key = held.key(&self.budgets.writer);
            if !state.view.borrow().has_home(&key) {
                return Ok(());
            }
        }
        Err(LedgerError::Unavailable)
    }

    /// The slices that take the place of this home's standing slices, and the end of its record.
    fn release_records(
        &self,
        view: &BudgetView,
        held: &HeldHome,
        used: &[UsedStanding],
    ) -> Vec<KeyedRecord> {
        let key = held.key(&self.budgets.writer);
        let mut after = view.clone();
        after.drop_key(&key);
        // A program that has records by now counts the whole standing slice there.
        let used = used.iter().filter(|used| !after.has_program(&used.program));
        let slices = used.map(|used| KeyedRecord {
            key: used.key.clone(),
            value: Some(to_cbor(&BudgetRecord::Slice(SliceRecord {
                holder: Some(self.budgets.address),
                recorded_unix_ms: unix_ms(),
                retain_ms: used.retain_ms,
                ..after.slice(&used.program, used.budget, used.tokens)
            }))),
        });
        let end = KeyedRecord { key, value: None };
        slices.chain([end]).collect()
    }

    /// Ends being the home of all partitions, before this process ends.
    pub(crate) async fn release_all(&self, deadline: Instant) {
        self.is_released.set(true);
        let held = self.budgets.homes();
        let releases = held
            .iter()
            .map(|(partition, state)| self.release(*partition, state, deadline));
        // Where one fails, the home's record stays, and counts all of its standing slices.
        let _ = join_all(releases).await;
    }

    /// The peers that were lost at the last step.
    pub(crate) fn lost(&self) -> BTreeSet<SocketAddr> {
        self.lost.borrow().clone()
    }

    /// The home that this process knows of for a program.
    pub(crate) fn known_home(&self, program: &str) -> Option<SocketAddr> {
        let partition = self.budgets.store.budget_partition(program);
        self.known.borrow().get(&partition).copied()
    }
}

/// The process that should be the home of a partition, by rendezvous hashing: all find the same,
/// and a process that is gone moves only its own partitions.
fn first_rank(
    partition: Partition,
    processes: &[PeerEntry],
    lost: &BTreeSet<SocketAddr>,
) -> Option<SocketAddr> {
    let name = format!("{}/{}", partition.topic, partition.number);
    let seed = xxh3_64(name.as_bytes());
    let score = |p: &&PeerEntry| xxh3_64_with_seed(p.address.to_string().as_bytes(), seed);
    let living = processes.iter().filter(|p| !lost.contains(&p.address));
    living.max_by_key(score).map(|p| p.address)
}
