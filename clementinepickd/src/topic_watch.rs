//! Schedules the reads of a topic: by long polling if the store can be reached directly, else at an
//! interval.
//!
//! Each topic is watched on its own. A joint wait for two topics ends with the first response and
//! drops the other one, and a call for an unavailable partition would delay the calls behind it; a
//! list would then not be read although the store responds.

use std::time::{Duration, Instant};

use actix_rt::time::sleep_until;
use platform::store::Topic;

use crate::followed_topic::FollowedTopic;
use crate::store::{StoreClient, StoreUnavailable};

/// The interval between two reads without long polling. A change must take effect within two
/// seconds; three reads fit into that, so that one may fail.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// How long one read may take.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the store may hold a long poll. With the timeout of an attempt, a lost poll is noticed
/// after 1.6 s at the latest, and another read fits into two seconds.
pub(crate) const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// The minimum time between the starts of two long polls, so that frequent changes are read in
/// batches.
const MIN_LONG_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Reads one topic on schedule.
#[derive(Debug)]
pub(crate) struct TopicWatch {
    /// The local copy of the topic.
    pub(crate) topic: FollowedTopic,
    /// Whether the last read succeeded, so that long polling may be used.
    can_long_poll: bool,
    next_at: Instant,
}

impl TopicWatch {
    /// Creates a watch whose first read is due at once.
    pub(crate) fn new(topic: Topic, now: Instant) -> Self {
        Self {
            topic: FollowedTopic::new(topic),
            can_long_poll: false,
            next_at: now,
        }
    }

    /// Makes the next read when it is due; the store may hold a long poll for up to `max_wait`.
    /// Returns whether there were new records.
    pub(crate) async fn next(
        &mut self,
        store: &StoreClient,
        max_wait: Duration,
    ) -> Result<bool, StoreUnavailable> {
        sleep_until(self.next_at.into()).await;
        let started_at = Instant::now();
        store.close_stale(started_at);
        let is_full_read_due = self.topic.is_full_read_due(started_at);
        let is_long_poll = self.can_long_poll && !is_full_read_due && !store.is_direct_down();
        let result = if is_long_poll {
            self.topic.long_poll(store, max_wait).await
        } else {
            store.retry_direct();
            self.topic
                .poll(store, started_at, started_at + POLL_TIMEOUT)
                .await
        };
        self.next_at = started_at
            + if is_long_poll {
                MIN_LONG_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
        self.can_long_poll = result.is_ok();
        result
    }
}
