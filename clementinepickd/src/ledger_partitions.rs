//! Keeps this process's view of each budget partition, and reads from and appends to it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::budget_ledger::{BudgetRecord, BudgetView, HOME_LEASE_MS, home_key};
use platform::store::{KeyedRecord, decode_end};
use tokio::sync::Mutex;

use crate::ledger::{LedgerError, Partition, from_cbor};
use crate::ledger_budgets::Budgets;
use crate::store::StorePurpose;

/// The state of a partition as known to this process.
#[derive(Default)]
pub(crate) struct PartitionState {
    pub(crate) view: RefCell<BudgetView>,
    /// Held while the partition is read or written, since concurrent appends of one process would
    /// only fail each other's conditions.
    pub(crate) access: Mutex<()>,
    pub(crate) used_at: Cell<Option<Instant>>,
    /// Set while this process is a home of the partition.
    pub(crate) home: Cell<Option<HeldHome>>,
}

/// This process as the home of a partition.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldHome {
    pub(crate) number: u64,
    pub(crate) halvings: u32,
    /// A time before the last call that showed this home to be the latest.
    pub(crate) confirmed_at: Instant,
}

impl HeldHome {
    /// Returns the key of the home's record.
    pub(crate) fn key(&self, writer: &str) -> String {
        home_key(writer, self.number)
    }

    pub(crate) fn has_lease(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) < Duration::from_millis(HOME_LEASE_MS)
    }
}

impl Budgets {
    /// Appends records at the view's end, or reads new records if another process wrote first. The
    /// view contains the records afterwards if they were written, also by an earlier copy of the
    /// call.
    pub(crate) async fn append_next(
        &self,
        partition: Partition,
        state: &PartitionState,
        records: &[KeyedRecord],
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let started_at = Instant::now();
        let end = state.view.borrow().end;
        let purpose = StorePurpose::ReserveSlice;
        let append = self
            .store
            .append(purpose, partition, Some(end), records, deadline);
        let reply = append.await?;
        if reply.status == 200 {
            let end = decode_end(&reply.body).map_err(|_| LedgerError::Unavailable)?;
            let mut view = state.view.borrow_mut();
            apply_records(&mut view, records);
            view.end = end;
            drop(view);
            renew_lease(state, started_at);
            return Ok(());
        }
        self.catch_up(partition, state, deadline).await
    }

    /// Reads the records since the view's end, or the newest record of each key if those are no
    /// longer kept.
    pub(crate) async fn catch_up(
        &self,
        partition: Partition,
        state: &PartitionState,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let started_at = Instant::now();
        let reader = self.store.reader(StorePurpose::ReadSlices, deadline);
        let apply_page =
            |records: Vec<KeyedRecord>| apply_records(&mut state.view.borrow_mut(), &records);
        let from = state.view.borrow().end;
        let end = match reader.read_from(partition, from, apply_page).await? {
            Some(end) => end,
            None => reader.read_newest(partition, apply_page).await?,
        };
        state.view.borrow_mut().end = end;
        renew_lease(state, started_at);
        Ok(())
    }

    /// Reads a partition that was never read, if the store is slow: the first append would fail.
    pub(crate) async fn read_first(
        &self,
        partition: Partition,
        state: &PartitionState,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        if state.view.borrow().end == 0 && self.store.client.is_slow() {
            self.catch_up(partition, state, deadline).await?;
        }
        Ok(())
    }

    /// Returns the state of a partition and marks it as used.
    pub(crate) fn partition(&self, partition: Partition, now: Instant) -> Rc<PartitionState> {
        let mut partitions = self.partitions.borrow_mut();
        let state = partitions.entry(partition).or_default();
        state.used_at.set(Some(now));
        Rc::clone(state)
    }

    /// Returns the partitions that this process has read or written.
    pub(crate) fn known_partitions(&self) -> Vec<(Partition, Rc<PartitionState>)> {
        let partitions = self.partitions.borrow();
        partitions.iter().map(|(p, s)| (*p, Rc::clone(s))).collect()
    }

    /// Returns the partitions whose home this process is.
    pub(crate) fn homes(&self) -> Vec<(Partition, Rc<PartitionState>)> {
        let partitions = self.partitions.borrow();
        let held = partitions.iter().filter(|(_, s)| s.home.get().is_some());
        held.map(|(p, s)| (*p, Rc::clone(s))).collect()
    }
}

/// Extends the lease from `at` if the view shows no later home.
fn renew_lease(state: &PartitionState, at: Instant) {
    let latest = state.view.borrow().latest_home().map(|home| home.number);
    if let Some(home) = state.home.get()
        && latest == Some(home.number)
    {
        state.home.set(Some(HeldHome {
            confirmed_at: at.max(home.confirmed_at),
            ..home
        }));
    }
}

fn apply_records(view: &mut BudgetView, records: &[KeyedRecord]) {
    for KeyedRecord { key, value } in records {
        match value {
            None => view.drop_key(key),
            Some(value) => {
                if let Some(record) = from_cbor::<BudgetRecord>(value) {
                    view.apply(key, &record);
                }
            }
        }
    }
}
