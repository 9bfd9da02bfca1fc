//! When a followed topic is read: at once as something new is written, where the store can be waited
//! at, and again and again where it can't.
//!
//! Each topic is watched by itself. Watched together, one of them would hold up the others: a wait for
//! two lists ends with the news of one, and the unread answer of the other is lost each time; a call
//! for a partition that is away uses up the time of those behind it. The symptom is a list that is
//! not read at all while the store answers every call for it.

use std::time::{Duration, Instant};

use actix_rt::time::sleep_until;
use platform::store::Topic;

use crate::followed_topic::FollowedTopic;
use crate::store::{StoreClient, StoreUnavailable};

/// The time between two looks where the store can't be waited at. A change must be in force within
/// two seconds; three looks fit, so that one that fails is made up for.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// How long one look may take.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the store may hold an answer back until something changes. With the limit of a try, a
/// look that is lost is noticed after 1.6 s at the latest, and another one fits into two seconds.
const WAIT: Duration = Duration::from_secs(1);
/// The least time between the starts of two looks that wait: a storm of changes is read in parts.
const NEWS_PAUSE: Duration = Duration::from_millis(150);

/// One reading of a topic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TopicPoll {
    /// When it began.
    pub(crate) begun: Instant,
    /// Whether there was anything new.
    pub(crate) result: Result<bool, StoreUnavailable>,
}

/// Reads one topic at the right times.
#[derive(Debug)]
pub(crate) struct TopicWatch {
    /// What was read.
    pub(crate) topic: FollowedTopic,
    /// Whether the last reading went well, so that the store can be waited at.
    may_wait: bool,
    next_at: Instant,
}

impl TopicWatch {
    /// A watch whose first reading is made at once.
    pub(crate) fn new(topic: Topic, now: Instant) -> Self {
        Self {
            topic: FollowedTopic::new(topic),
            may_wait: false,
            next_at: now,
        }
    }

    /// Makes the next reading when it is due; with `polls`, one that does not wait for news.
    pub(crate) async fn next(&mut self, store: &StoreClient, polls: bool) -> TopicPoll {
        sleep_until(self.next_at.into()).await;
        let begun = Instant::now();
        let is_full_read_due = self.topic.is_full_read_due(begun);
        let waits = self.may_wait && !polls && !is_full_read_due && !store.is_direct_down();
        let result = if waits {
            self.topic.long_poll(store, WAIT).await
        } else {
            store.probe().await;
            self.topic.poll(store, begun, begun + POLL_TIMEOUT).await
        };
        self.next_at = begun + if waits { NEWS_PAUSE } else { POLL_INTERVAL };
        self.may_wait = result.is_ok();
        TopicPoll { begun, result }
    }
}
