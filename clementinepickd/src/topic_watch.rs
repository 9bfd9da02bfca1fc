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
use crate::list_refresh::RefreshReceiver;
use crate::store::{StoreClient, StoreUnavailable};

/// The interval between two reads without long polling. A change must take effect within two
/// seconds; three reads fit into that, so that one may fail.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// How long one read may take.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the store may hold a long poll. With the timeout of an attempt, a lost poll is noticed
/// after 1.6 s at the latest, and another read fits into two seconds.
pub(crate) const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// How long a read may take for which requests wait: two attempts, the second one through a peer.
pub(crate) const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);
/// The minimum time between the starts of two long polls, so that frequent changes are read in
/// batches.
const MIN_LONG_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// What a read returned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TopicRead {
    /// Whether there were new records.
    pub(crate) has_changed: bool,
    /// When the call began, or the end of the time for which the store held it since there was nothing
    /// new. The response may have waited in a socket since.
    pub(crate) as_of: Instant,
}

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
    pub(crate) async fn next(
        &mut self,
        store: &StoreClient,
        max_wait: Duration,
    ) -> Result<TopicRead, StoreUnavailable> {
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
        let has_changed = result?;
        let was_held = is_long_poll && !has_changed && started_at.elapsed() >= max_wait;
        let held = if was_held { max_wait } else { Duration::ZERO };
        Ok(TopicRead {
            has_changed,
            as_of: started_at + held,
        })
    }

    /// Makes the next read when it is due or as soon as it is asked for, instead of one that is in
    /// progress.
    pub(crate) async fn next_or_refresh(
        &mut self,
        store: &StoreClient,
        max_wait: Duration,
        refresh: &mut RefreshReceiver,
    ) -> Result<TopicRead, StoreUnavailable> {
        let was_direct_down = store.is_direct_down();
        // Frequent requests must not keep a full read from being completed.
        let can_interrupt = !self.topic.is_full_read_due(Instant::now());
        let read = tokio::select! {
            biased;
            () = refresh.wait(), if can_interrupt => None,
            read = self.next(store, max_wait) => Some(read),
        };
        let read = if let Some(read) = read {
            read
        } else {
            if was_direct_down {
                // The read that was dropped may have been about to find out otherwise.
                store.avoid_direct();
            }
            self.refresh(store, refresh).await
        };
        if let Ok(read) = &read {
            refresh.record_read(read.as_of);
        }
        read
    }

    async fn refresh(
        &mut self,
        store: &StoreClient,
        refresh: &mut RefreshReceiver,
    ) -> Result<TopicRead, StoreUnavailable> {
        let started_at = Instant::now();
        refresh.record_start(started_at);
        let deadline = started_at + REFRESH_TIMEOUT;
        let result = self.topic.poll_new(store, started_at, deadline).await;
        self.can_long_poll = result.is_ok();
        result.map(|has_changed| TopicRead {
            has_changed,
            as_of: started_at,
        })
    }
}
