//! Manages the homes of budget partitions: acquires and releases this process's homes, and finds
//! the homes of other partitions.
//!
//! The home of a partition is the process that others ask first for budgets in it. It does not own
//! the partition: a process that cannot reach the home reserves in the store itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{BudgetRecord, BudgetView, HomeRecord};
use clementinepick::peer_liveness::PeerLiveness;
use clementinepick::rendezvous::first_address;
use clementinepick::units::SpanUs;
use futures_util::future::join_all;
use platform::store::KeyedRecord;

use crate::directory::PeerEntry;
use crate::ledger::{LedgerError, Partition, to_cbor};
use crate::ledger_budgets::Budgets;
use crate::ledger_partitions::{HeldHome, PartitionState};
use crate::monotonic_clock::MonotonicClock;
use crate::unix_time::unix_ms;

/// How long the store calls for one partition may take, unless the store is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The calls that follow from each other until this process is a home: an append that fails because
/// others have written, a read of what they wrote, and another append.
const ACQUIRE_CALLS: u32 = 3;
/// The maximum number of partitions handled at the same time in one step. With four steps a second, a
/// starting process becomes the home of its share of 96 partitions within two seconds.
const PARTITIONS_PER_STEP: usize = 8;
/// The interval at which a home that writes nothing checks whether it still is the latest: four
/// times in its lease.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// The minimum retention of a home's record, in milliseconds, since a later configuration may allow
/// longer retentions than the current one.
const MIN_RETAIN_MS: u64 = 300_000;
/// The capacity of the caches of turns' runners and turn chains' servers: half a minute of turns at
/// the design load, 400 kB each.
const FIFO_CAPACITY: usize = 2_048;

/// A map of limited size; the oldest entry is evicted first.
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
        let previous = self.values.insert(name.to_owned(), value);
        if previous.is_none() {
            self.by_age.push_back(name.to_owned());
        }
        if self.by_age.len() > FIFO_CAPACITY
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.values.remove(&oldest);
        }
    }
}

/// The homes of all partitions as known to this process.
pub(crate) struct Homes {
    pub(crate) budgets: Rc<Budgets>,
    /// The registered processes at the last step.
    processes: RefCell<Vec<PeerEntry>>,
    /// Those of them that were unreachable then.
    lost: RefCell<BTreeSet<SocketAddr>>,
    /// Partitions whose home this process should be and that were not handled yet.
    pending: RefCell<Vec<Partition>>,
    /// Homes named by peers or by records in the store.
    by_partition: RefCell<BTreeMap<Partition, SocketAddr>>,
    liveness: RefCell<PeerLiveness>,
    clock: MonotonicClock,
    /// The gateways that ran the turns that this home lent for, by turn.
    pub(crate) runners: RefCell<FifoCache<SocketAddr>>,
    /// The servers that ran the last turns, by turn chain.
    pub(crate) chain_servers: RefCell<FifoCache<String>>,
    /// The longest retention of any program, in milliseconds.
    retain_ms: Cell<u64>,
    is_shutting_down: Cell<bool>,
}

impl Homes {
    pub(crate) fn new(budgets: Rc<Budgets>) -> Self {
        Self {
            budgets,
            processes: RefCell::default(),
            lost: RefCell::default(),
            pending: RefCell::default(),
            by_partition: RefCell::default(),
            liveness: RefCell::default(),
            clock: MonotonicClock::starting_at(Instant::now()),
            runners: RefCell::default(),
            chain_servers: RefCell::default(),
            retain_ms: Cell::new(MIN_RETAIN_MS),
            is_shutting_down: Cell::new(false),
        }
    }

    /// Returns the home to ask for a program's budget; `None` if it is this process, is unknown or
    /// lately did not respond.
    pub(crate) fn remote_home(&self, program: &str, now: Instant) -> Option<SocketAddr> {
        let partition = self.budgets.store.budget_partition(program);
        let known = self.by_partition.borrow().get(&partition).copied();
        let known = known.filter(|home| !self.lost.borrow().contains(home));
        let preferred = || preferred_home(partition, &self.processes.borrow(), &self.lost.borrow());
        let home = known.or_else(preferred)?;
        (home != self.budgets.address && !self.is_silent(home, now)).then_some(home)
    }

    /// Returns whether a peer lately did not respond.
    pub(crate) fn is_silent(&self, peer: SocketAddr, now: Instant) -> bool {
        let now = self.clock.at(now);
        self.liveness.borrow().is_silent(now, peer)
    }

    /// Records that a peer did not respond in time.
    pub(crate) fn record_peer_timeout(&self, peer: SocketAddr, now: Instant) {
        let now = self.clock.at(now);
        self.liveness.borrow_mut().record_failure(now, peer);
    }

    /// Records that a peer responded.
    pub(crate) fn record_peer_response(&self, peer: SocketAddr) {
        self.liveness.borrow_mut().record_response(peer);
    }

    /// Sets the known home of a program's partition.
    pub(crate) fn set_known_home(&self, program: &str, home: SocketAddr) {
        let partition = self.budgets.store.budget_partition(program);
        self.by_partition.borrow_mut().insert(partition, home);
    }

    /// Clears the known home of a program's partition.
    pub(crate) fn clear_known_home(&self, program: &str) {
        let partition = self.budgets.store.budget_partition(program);
        self.by_partition.borrow_mut().remove(&partition);
    }

    /// Becomes the home of up to [`PARTITIONS_PER_STEP`] pending partitions, and checks held ones
    /// that are due.
    ///
    /// `retention` is the longest retention of any program's budget.
    pub(crate) async fn step(&self, processes: &[PeerEntry], retention: SpanUs, now: Instant) {
        self.retain_ms.set(retention.as_ms().max(MIN_RETAIN_MS));
        if self.is_shutting_down.get() || self.budgets.store.client.is_unavailable() {
            return;
        }
        self.update_processes(processes, now);
        let limit = self.budgets.store.client.time_for(ACQUIRE_CALLS);
        let deadline = now + limit.max(CALL_TIMEOUT);
        self.acquire_pending(deadline).await;
        let is_due = |state: &PartitionState| {
            let home = state.home.get();
            home.is_some_and(|home| {
                now.saturating_duration_since(home.confirmed_at) >= CHECK_INTERVAL
            })
        };
        let held = self.budgets.homes();
        let due = held.iter().filter(|(_, state)| is_due(state));
        let checks = due.take(PARTITIONS_PER_STEP);
        let checks = checks.map(|(partition, state)| self.check(*partition, state, deadline));
        // A failed check is repeated in the next step; without a successful one, the lease expires.
        join_all(checks).await;
    }

    /// Takes as many pending partitions as one step handles.
    fn take_pending(&self) -> Vec<Partition> {
        let mut pending = self.pending.borrow_mut();
        let first = pending.len().saturating_sub(PARTITIONS_PER_STEP);
        pending.split_off(first)
    }

    /// Becomes the home of some pending partitions. The next step tries those again for which the
    /// store did not respond.
    async fn acquire_pending(&self, deadline: Instant) {
        let batch = self.take_pending();
        let acquisitions = batch.iter().map(|p| self.acquire(*p, deadline));
        let acquired = join_all(acquisitions).await;
        let results = batch.into_iter().zip(acquired);
        let failed = results.filter(|(_, acquired)| acquired.is_err());
        let failed = failed.map(|(partition, _)| partition);
        self.pending.borrow_mut().extend(failed);
    }

    fn update_processes(&self, processes: &[PeerEntry], now: Instant) {
        let previous = self.processes.replace(processes.to_vec());
        for process in processes.iter().filter(|p| !previous.contains(p)) {
            self.record_peer_response(process.address);
        }
        let lost = self.liveness.borrow().lost(self.clock.at(now));
        let lost_before = self.lost.replace(lost.clone());
        if previous == processes && lost_before == lost {
            return;
        }
        self.by_partition.borrow_mut().clear();
        let own = Some(self.budgets.address);
        let is_ours = |p: &Partition| preferred_home(*p, processes, &lost) == own;
        let all = self.budgets.store.budget_partitions();
        *self.pending.borrow_mut() = all.filter(is_ours).collect();
    }

    /// Makes this process the home of a partition, unless a reachable process already is.
    async fn acquire(&self, partition: Partition, deadline: Instant) -> Result<(), LedgerError> {
        let state = self.budgets.partition(partition, Instant::now());
        let _guard = state.access.lock().await;
        if state.home.get().is_some() {
            return Ok(());
        }
        self.budgets.read_first(partition, &state, deadline).await?;
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
                Some(home) if self.is_live(&home) => {
                    let mut by_partition = self.by_partition.borrow_mut();
                    by_partition.insert(partition, home.address);
                    return Ok(());
                }
                _ => {}
            }
            let record = self.next_record(&state.view.borrow());
            let records = [KeyedRecord {
                key: record.key(),
                value: Some(to_cbor(&BudgetRecord::Home(record))),
            }];
            let started_at = Instant::now();
            let append = self
                .budgets
                .append_next(partition, &state, &records, deadline);
            append.await?;
            let is_written = state.view.borrow().has_home(&records[0].key);
            written_at = is_written.then_some(started_at);
        }
    }

    /// Returns whether the process of a home record is registered and reachable.
    fn is_live(&self, home: &HomeRecord) -> bool {
        let processes = self.processes.borrow();
        let is_same_process = |p: &PeerEntry| p.address == home.address && p.writer == home.writer;
        let is_lost = self.lost.borrow().contains(&home.address);
        home.address != self.budgets.address && !is_lost && processes.iter().any(is_same_process)
    }

    fn next_record(&self, view: &BudgetView) -> HomeRecord {
        HomeRecord {
            recorded_unix_ms: unix_ms(),
            retain_ms: self.retain_ms.get(),
            ..view.next_home(self.budgets.address, &self.budgets.writer)
        }
    }

    /// Checks whether this process is still the latest home; releases the partition if not.
    async fn check(
        &self,
        partition: Partition,
        state: &Rc<PartitionState>,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let guard = state.access.lock().await;
        self.budgets.catch_up(partition, state, deadline).await?;
        let latest = state.view.borrow().latest_home().map(|home| home.number);
        let held = state.home.get().map(|home| home.number);
        drop(guard);
        if latest != held {
            self.release(partition, state, deadline).await?;
        }
        Ok(())
    }

    /// Becomes the home of no further partitions.
    pub(crate) fn stop_acquiring(&self) {
        self.is_shutting_down.set(true);
    }

    /// Returns the peers that were unreachable at the last step.
    pub(crate) fn lost(&self) -> BTreeSet<SocketAddr> {
        self.lost.borrow().clone()
    }

    /// Returns the known home of a program's partition.
    pub(crate) fn known_home(&self, program: &str) -> Option<SocketAddr> {
        let partition = self.budgets.store.budget_partition(program);
        self.by_partition.borrow().get(&partition).copied()
    }
}

/// Returns the process that should be the home of a partition, by rendezvous hashing: all processes
/// agree, and a lost process moves only its own partitions.
fn preferred_home(
    partition: Partition,
    processes: &[PeerEntry],
    lost: &BTreeSet<SocketAddr>,
) -> Option<SocketAddr> {
    let name = format!("{}/{}", partition.topic, partition.number);
    let addresses = processes.iter().map(|process| process.address);
    first_address(&name, addresses.filter(|address| !lost.contains(address)))
}
