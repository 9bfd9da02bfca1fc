//! Follows the configuration in the store and publishes new versions.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clementinepick::event::{Event, EventKind};
use clementinepick::refusal::Refusal;
use clementinepick::traffic_config::TrafficConfig;
use platform::store::{CONFIG_KEY, Topic};

use crate::directory::{Directory, FollowerContext};
use crate::logging::write_event;
use crate::topic_watch::{LONG_POLL_WAIT, TopicWatch};

/// The maximum age of a configuration by which a request is refused for good. A new one must take
/// effect within this time.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(2);

/// Returns the reason for which a request is refused: if the configuration decides that for good and is
/// too old for it, the caller is to return.
pub(crate) fn refusal_by_config(refusal: Refusal, directory: &Directory, now: Instant) -> Refusal {
    let decides = matches!(
        refusal,
        Refusal::NoRoute | Refusal::HeadTooLarge | Refusal::BodyTooLarge
    );
    let age = |at| now.saturating_duration_since(at);
    let is_current = directory
        .config_as_of
        .is_some_and(|at| age(at) <= MAX_CONFIG_AGE);
    if decides && !is_current {
        Refusal::ConfigOutdated
    } else {
        refusal
    }
}

/// Follows the configuration.
pub(crate) struct ConfigFollower<'a> {
    context: FollowerContext<'a>,
    watch: TopicWatch,
    /// The highest version that was read, or was published when this was created.
    known_version: Option<u64>,
}

impl<'a> ConfigFollower<'a> {
    /// Creates a follower that goes on from what is published.
    pub(crate) fn new(context: FollowerContext<'a>, now: Instant) -> Self {
        let published = context.publish.borrow().config.clone();
        Self {
            context,
            watch: TopicWatch::new(Topic::Config, now),
            known_version: published.map(|config| config.version),
        }
    }

    /// Follows the configuration until this is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let read = self.watch.next(self.context.store, LONG_POLL_WAIT).await;
            let Ok(read) = read else {
                // The store client counts the failure; a process with an outdated configuration is
                // not ready.
                continue;
            };
            let new_config = if read.has_changed {
                self.new_config()
            } else {
                None
            };
            let mut new_version = None;
            self.context.publish.send_modify(|directory| {
                directory.config_as_of = directory.config_as_of.max(Some(read.as_of));
                if let Some((config, document)) = new_config {
                    let version = config.version;
                    // A peer may have handed over this version or a later one.
                    let is_new = directory.take_config(read.as_of, config, document);
                    new_version = is_new.then_some(version);
                }
            });
            if let Some(version) = new_version {
                let event = Event::new(EventKind::DocumentInForce).with("version", version);
                write_event(self.context.logger, &event);
            }
        }
    }

    /// Returns the configuration that was read, with its document, if its version is higher than those
    /// before.
    fn new_config(&mut self) -> Option<(TrafficConfig, Bytes)> {
        let value = self.watch.topic.records().get(CONFIG_KEY)?.clone();
        let config = match platform::config::decode(&value) {
            Ok(config) => config,
            Err(err) => {
                let event = Event::new(EventKind::DocumentRejected).with("reason", err);
                write_event(self.context.logger, &event);
                return None;
            }
        };
        if self
            .known_version
            .is_some_and(|known| config.version <= known)
        {
            return None;
        }
        self.known_version = Some(config.version);
        Some((config, value))
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;
    use crate::gateway_tests::FollowerFixture;

    /// Guards against a process that goes back to an older configuration.
    #[test]
    fn a_follower_that_is_begun_anew_knows_the_version_in_force() {
        let fixture = FollowerFixture::new(Directory {
            config: Some(Arc::new(TrafficConfig {
                version: 5,
                ..TrafficConfig::default()
            })),
            ..Directory::default()
        });
        let follower = ConfigFollower::new(fixture.context(), Instant::now());
        assert_eq!(follower.known_version, Some(5));
    }
}
