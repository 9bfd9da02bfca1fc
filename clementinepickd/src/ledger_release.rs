//! Gives up what this process holds of budgets: standing slices when it stops being the home of a
//! partition, and all unused tokens before it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use clementinepick::budget_ledger::{BudgetRecord, BudgetView, SliceRecord};
use clementinepick::units::Tokens;
use futures_util::future::join_all;
use platform::store::KeyedRecord;

use crate::ledger::{LedgerError, Partition, to_cbor};
use crate::ledger_budgets::Budgets;
use crate::ledger_homes::Homes;
use crate::ledger_partitions::{HeldHome, PartitionState};
use crate::unix_time::unix_ms;

/// How often a release is retried when other processes write to the partition at the same time.
const MAX_RELEASE_ATTEMPTS: u32 = 4;

/// What this process gives up of a program's budget.
#[derive(Debug, Clone)]
struct ProgramRelease {
    program: String,
    /// The key for the record.
    key: String,
    budget: Tokens,
    /// The home whose standing slice the program had here.
    standing_home: Option<u64>,
    /// The used part of the standing slice, if no record counts it.
    used: Tokens,
    /// What was not used, if records count what was granted.
    unused: Tokens,
    retain_ms: u64,
}

impl ProgramRelease {
    /// Returns the record that is due for the program in `view`: a slice of what was used without a
    /// record, or one of no tokens that returns what was not used.
    fn record(&self, view: &BudgetView, holder: SocketAddr) -> Option<KeyedRecord> {
        let home = self.standing_home;
        let slice = |tokens| view.slice(&self.program, self.budget, tokens);
        let slice = if !view.has_program(&self.program) {
            (self.used > Tokens(0)).then(|| SliceRecord {
                holder: Some(holder),
                ..slice(self.used)
            })?
        } else if home.is_none_or(|home| view.has_standing_slice(&self.program, home)) {
            (self.unused > Tokens(0)).then(|| SliceRecord {
                returned: self.unused,
                ..slice(Tokens(0))
            })?
        } else {
            return None;
        };
        let slice = SliceRecord {
            recorded_unix_ms: unix_ms(),
            retain_ms: self.retain_ms,
            ..slice
        };
        Some(KeyedRecord {
            key: self.key.clone(),
            value: Some(to_cbor(&BudgetRecord::Slice(slice))),
        })
    }
}

/// What this process gives up of a partition.
#[derive(Debug)]
struct Release {
    /// The key of the record by which it is the home, if it is.
    home_key: Option<String>,
    programs: Vec<ProgramRelease>,
}

/// How much a process gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseScope {
    /// The standing slices of a home.
    Standing,
    /// All tokens that no turn needs.
    All,
}

impl Budgets {
    /// Takes what is given up of a partition's programs out of this process's slices.
    fn release_programs(&self, partition: Partition, scope: ReleaseScope) -> Vec<ProgramRelease> {
        let mut programs = self.programs.borrow_mut();
        let in_partition = programs
            .iter_mut()
            .filter(|(name, _)| self.store.budget_partition(name) == partition);
        let releases = in_partition.map(|(name, program)| {
            let mut before = program.slices;
            let used = before.release_standing();
            let unused = match scope {
                ReleaseScope::Standing => Tokens(0),
                ReleaseScope::All => program.slices.release_unused(),
            };
            program.slices.release_standing();
            ProgramRelease {
                program: name.to_owned(),
                key: self.slice_key(name),
                budget: program.budget,
                standing_home: program.standing_home,
                used,
                unused,
                retain_ms: u64::try_from(program.retention.as_millis()).unwrap_or(u64::MAX),
            }
        });
        let releases = releases.filter(|r| r.used > Tokens(0) || r.unused > Tokens(0));
        releases.collect()
    }

    fn release_records(&self, view: &BudgetView, release: &Release) -> Vec<KeyedRecord> {
        let mut view_after = view.clone();
        if let Some(key) = &release.home_key {
            view_after.drop_key(key);
        }
        let programs = release.programs.iter();
        let records = programs.filter_map(|program| program.record(&view_after, self.address));
        let deletion = release.home_key.iter().map(|key| KeyedRecord {
            key: key.clone(),
            value: None,
        });
        records.chain(deletion).collect()
    }

    /// Appends the records of a release, in one append.
    ///
    /// If it fails, what the process held counts as used: other processes can't know that it was
    /// not.
    async fn append_release(
        &self,
        partition: Partition,
        state: &PartitionState,
        release: &Release,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let records = self.release_records(&state.view.borrow(), release);
            let Some(last) = records.last() else {
                return Ok(());
            };
            self.append_next(partition, state, &records, deadline)
                .await?;
            let view = state.view.borrow();
            let is_written = match &last.value {
                None => !view.has_home(&last.key),
                Some(_) => view.has_slice(&last.key),
            };
            if is_written {
                return Ok(());
            }
        }
        Err(LedgerError::Unavailable)
    }
}

impl Homes {
    /// Stops being the home of a partition: records the used parts of standing slices and deletes
    /// the home's record.
    pub(crate) async fn release(
        &self,
        partition: Partition,
        state: &Rc<PartitionState>,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let _guard = state.access.lock().await;
        let Some(held) = state.home.take() else {
            return Ok(());
        };
        let release = Release {
            home_key: Some(self.home_key(&held)),
            programs: self
                .budgets
                .release_programs(partition, ReleaseScope::Standing),
        };
        let append = self
            .budgets
            .append_release(partition, state, &release, deadline);
        append.await
    }

    /// Gives up all that this process holds of a partition's budgets, before it ends.
    ///
    /// Without this, each planned restart would cost each program a standing slice and what was
    /// reserved for its next turns.
    async fn release_for_shutdown(
        &self,
        partition: Partition,
        state: &Rc<PartitionState>,
        deadline: Instant,
    ) -> Result<(), LedgerError> {
        let _guard = state.access.lock().await;
        let home_key = state.home.take().map(|held| self.home_key(&held));
        let release = Release {
            home_key,
            programs: self.budgets.release_programs(partition, ReleaseScope::All),
        };
        let append = self
            .budgets
            .append_release(partition, state, &release, deadline);
        append.await
    }

    fn home_key(&self, held: &HeldHome) -> String {
        held.key(&self.budgets.writer)
    }

    /// Gives up all that this process holds of budgets, before it ends.
    pub(crate) async fn release_all(&self, deadline: Instant) {
        self.stop_acquiring();
        let partitions = self.budgets.known_partitions();
        let releases = partitions
            .iter()
            .map(|(partition, state)| self.release_for_shutdown(*partition, state, deadline));
        // What a failed release would have returned counts as used.
        let _ = join_all(releases).await;
    }
}
