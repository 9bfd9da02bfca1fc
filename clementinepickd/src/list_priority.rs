//! Holds reads for requests back while the store's limit of calls keeps this process from reading its lists.
//!
//! A process whose lists are old can hand none to a peer that starts, and sends requests to servers that
//! may have left; a read for one request can wait.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::timeout_at;

use crate::directory::Directory;
use crate::store_call::StorePurpose;

/// How long a refusal by the limit counts: the limit is one of calls a second.
const LIMIT_SPAN: Duration = Duration::from_secs(1);
/// How long a call may be held back in all: almost until the limit allows new calls for certain, so that the
/// lists are read first.
const MAX_HOLD: Duration = Duration::from_millis(900);

/// Decides which calls of a client wait until the lists of this process are read.
#[derive(Debug)]
pub(crate) struct ListPriority {
    directory: watch::Receiver<Directory>,
    /// When the store last refused a call for its limit.
    limited_at: Cell<Option<Instant>>,
}

impl ListPriority {
    pub(crate) fn new(directory: watch::Receiver<Directory>) -> Self {
        Self {
            directory,
            limited_at: Cell::new(None),
        }
    }

    /// Records that the store has refused a call for its limit.
    pub(crate) fn record_limited(&self, now: Instant) {
        self.limited_at.set(Some(now));
    }

    /// Returns until when a call that begins at `now` may be held back at most.
    pub(crate) fn hold_limit(now: Instant, deadline: Instant) -> Instant {
        deadline.min(now + MAX_HOLD)
    }

    /// Waits until `purpose` does not compete with reads of the lists, until `limit` at most.
    pub(crate) async fn hold(&self, purpose: StorePurpose, now: Instant, limit: Instant) {
        if !can_wait(purpose) || !self.is_limited(now) {
            return;
        }
        let mut directory = self.directory.clone();
        let is_current = |directory: &Directory| !directory.is_due(Instant::now());
        // If it is not current in time, the call is made all the same.
        let _ = timeout_at(limit.into(), directory.wait_for(is_current)).await;
    }

    fn is_limited(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIMIT_SPAN;
        self.limited_at.get().is_some_and(is_recent)
    }
}

/// Returns whether calls of a purpose give way to reads of the lists.
fn can_wait(purpose: StorePurpose) -> bool {
    match purpose {
        StorePurpose::ReadSlices
        | StorePurpose::ReadTurn
        | StorePurpose::Origins
        | StorePurpose::Sweep => true,
        StorePurpose::Follow
        | StorePurpose::Announce
        | StorePurpose::ReserveSlice
        | StorePurpose::RecordTurn
        | StorePurpose::RecordRequests
        | StorePurpose::LoadRequests
        | StorePurpose::Versions
        | StorePurpose::Probe
        | StorePurpose::Relay => false,
    }
}

#[cfg(test)]
mod tests {
    use actix_rt::System;
    use actix_rt::time::{sleep, timeout};

    use super::*;

    const SHORTLY: Duration = Duration::from_millis(50);
    const LONG: Duration = Duration::from_secs(30);

    fn read_at(now: Instant) -> Directory {
        Directory {
            config_as_of: Some(now),
            servers_as_of: Some(now),
            ..Directory::default()
        }
    }

    fn limited_priority() -> (watch::Sender<Directory>, ListPriority) {
        let (publish, directory) = watch::channel(Directory::default());
        let priority = ListPriority::new(directory);
        priority.record_limited(Instant::now());
        (publish, priority)
    }

    /// Holds a call back for up to `limit`; returns for how long it was.
    async fn hold(priority: &ListPriority, purpose: StorePurpose, limit: Duration) -> Duration {
        let now = Instant::now();
        priority.hold(purpose, now, now + limit).await;
        now.elapsed()
    }

    /// Guards against lists that stay old since reads for requests use up the limit.
    #[test]
    fn reads_for_requests_wait_until_the_lists_are_read() {
        System::new().block_on(async {
            let (publish, priority) = limited_priority();
            let read = async {
                sleep(SHORTLY).await;
                publish.send_replace(read_at(Instant::now()));
            };
            let held = timeout(LONG, hold(&priority, StorePurpose::ReadTurn, LONG));
            let (held, ()) = tokio::join!(held, read);
            assert!(held.expect("an end of the wait") >= SHORTLY);
        });
    }

    /// Guards against requests that wait for ever for lists that can't be read.
    #[test]
    fn reads_for_requests_wait_for_a_limited_time() {
        System::new().block_on(async {
            let (_publish, priority) = limited_priority();
            let held = hold(&priority, StorePurpose::ReadSlices, SHORTLY).await;
            assert!((SHORTLY..LONG).contains(&held), "{held:?}");
        });
    }

    /// Guards against calls that are delayed although they take nothing from the lists.
    #[test]
    fn calls_that_do_not_compete_with_the_lists_do_not_wait() {
        System::new().block_on(async {
            let (publish, priority) = limited_priority();
            for purpose in [StorePurpose::Follow, StorePurpose::RecordTurn] {
                assert!(hold(&priority, purpose, LONG).await < LONG, "{purpose:?}");
            }
            publish.send_replace(read_at(Instant::now()));
            assert!(hold(&priority, StorePurpose::ReadTurn, LONG).await < LONG);
            let (_publish, directory) = watch::channel(Directory::default());
            let unlimited = ListPriority::new(directory);
            assert!(hold(&unlimited, StorePurpose::ReadTurn, LONG).await < LONG);
        });
    }
}
