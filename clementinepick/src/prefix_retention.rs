//! Decides how long an engine keeps the cached prefix of a program that pauses.
//!
//! The engine's LRU eviction may drop the prefix of a program that is about to return, while the
//! memory is full of prefixes of ended programs. Here a prefix is kept as long as its expected
//! reuse is worth the memory.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ClassName, ProgramId, ToolName};
use crate::predict::{Predictor, optimal_retention};
use crate::prompt::{ChainHash, Segment};
use crate::units::{SpanUs, TimeUs, Tokens};

/// The settings of [`PrefixRetention`].
#[derive(Debug, Clone)]
pub struct PrefixRetentionSettings {
    /// The cost of a prefix's memory per second, in thousandths of the cost of its prefill.
    pub price_milli_per_s: u64,
    /// How long a prefix is kept while no pauses have been observed.
    pub default_keep_us: SpanUs,
    /// The maximum time that a prefix is kept.
    pub max_keep_us: SpanUs,
    /// How long a prefix that several programs have used is kept after its last user has ended.
    pub shared_keep_us: SpanUs,
}

impl Default for PrefixRetentionSettings {
    fn default() -> Self {
        Self {
            price_milli_per_s: 10,
            default_keep_us: SpanUs::from_s(30),
            max_keep_us: SpanUs::from_s(120),
            shared_keep_us: SpanUs(0),
        }
    }
}

/// The cached prefix of a program.
#[derive(Debug, Clone)]
struct HeldPrefix {
    chains: Vec<Segment>,
    class: ClassName,
    tool: Option<ToolName>,
    /// The start of the program's pause; absent while one of its calls runs.
    idle_since_us: Option<TimeUs>,
    /// When the prefix expires; absent while a call runs, or after the release.
    expires_us: Option<TimeUs>,
}

/// The programs that use a segment.
#[derive(Debug, Clone, Copy, Default)]
struct Users {
    count: u32,
    /// Whether several programs have used the segment.
    is_shared: bool,
}

/// Tracks the prefixes that one engine caches, and the observed pauses of programs.
#[derive(Debug, Clone, Default)]
pub struct PrefixRetention {
    settings: PrefixRetentionSettings,
    pauses: Predictor,
    held: BTreeMap<ProgramId, HeldPrefix>,
    timers: BTreeSet<(TimeUs, ProgramId)>,
    users: BTreeMap<ChainHash, Users>,
    /// Segments without users that programs have abandoned.
    orphans: Vec<ChainHash>,
    /// Shared segments without users, with their expiry.
    expiring_shared: BTreeMap<ChainHash, TimeUs>,
}

impl PrefixRetention {
    /// Creates the state of an engine with an empty cache.
    #[must_use]
    pub fn new(settings: PrefixRetentionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the settings; they apply from each prefix's next pause on.
    pub fn set(&mut self, settings: PrefixRetentionSettings) {
        self.settings = settings;
    }

    /// Handles a call of a program, which ends its pause.
    pub fn on_call(&mut self, now: TimeUs, program: &ProgramId) {
        let Some(held) = self.held.get_mut(program) else {
            return;
        };
        if let Some(since_us) = held.idle_since_us.take() {
            let pause_us = now.since(since_us).0;
            self.pauses
                .observe(&held.class, held.tool.as_ref(), Some(pause_us));
        }
        if let Some(expires_us) = held.expires_us.take() {
            self.timers.remove(&(expires_us, program.clone()));
        }
    }

    /// Handles the end of a turn that left `cached` in the engine, and returns until when it is
    /// kept.
    pub fn on_turn_end(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        class: &ClassName,
        tool: Option<&ToolName>,
        cached: &[Segment],
    ) -> TimeUs {
        self.on_call(now, program);
        let old = self
            .held
            .remove(program)
            .map(|held| held.chains)
            .unwrap_or_default();
        self.remove_users(&old);
        for segment in cached {
            let users = self.users.entry(segment.chain).or_default();
            users.count += 1;
            users.is_shared |= users.count > 1;
            if self.expiring_shared.remove(&segment.chain).is_some() {
                users.is_shared = true;
            }
        }
        // A modified transcript abandons segments, which would otherwise never be released.
        let abandoned = old.iter().map(|segment| segment.chain);
        self.orphans
            .extend(abandoned.filter(|chain| self.users.get(chain).is_some_and(|u| u.count == 0)));
        let expires_us = now.after(self.keep_us(class, tool));
        self.timers.insert((expires_us, program.clone()));
        let held = HeldPrefix {
            chains: cached.to_vec(),
            class: class.clone(),
            tool: tool.cloned(),
            idle_since_us: Some(now),
            expires_us: Some(expires_us),
        };
        self.held.insert(program.clone(), held);
        expires_us
    }

    /// Returns how long a prefix is kept if its program pauses now.
    #[must_use]
    pub fn keep_us(&self, class: &ClassName, tool: Option<&ToolName>) -> SpanUs {
        let Some(pauses) = self.pauses.histogram(class, tool) else {
            return self.settings.default_keep_us;
        };
        optimal_retention(pauses, self.settings.price_milli_per_s).min(self.settings.max_keep_us)
    }

    /// Handles a program that has ended or moved to another engine, and returns the segments that
    /// no other program uses.
    ///
    /// A program that was ended explicitly is no observation of a pause. Without an explicit end
    /// (`is_explicit_end` is false), it counts as one that never returned.
    pub fn on_program_end(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        is_explicit_end: bool,
    ) -> Vec<ChainHash> {
        let Some(held) = self.held.remove(program) else {
            return Vec::new();
        };
        if let Some(expires_us) = held.expires_us {
            self.timers.remove(&(expires_us, program.clone()));
        }
        if held.idle_since_us.is_some() && !is_explicit_end {
            self.pauses.observe(&held.class, held.tool.as_ref(), None);
        }
        self.take_unused(now, &held.chains)
    }

    /// Removes and returns the expired prefixes by program; abandoned and shared segments are
    /// returned without a program.
    pub fn take_expired(&mut self, now: TimeUs) -> Vec<(Option<ProgramId>, Vec<ChainHash>)> {
        let mut due = vec![(None, self.take_orphans())];
        while let Some((expires_us, program)) = self.timers.first().cloned() {
            if expires_us > now {
                break;
            }
            self.timers.remove(&(expires_us, program.clone()));
            let Some(held) = self.held.get_mut(&program) else {
                continue;
            };
            held.expires_us = None;
            // The program stays, without segments, so that a late return is still observed.
            let chains = std::mem::take(&mut held.chains);
            due.push((Some(program), self.take_unused(now, &chains)));
        }
        let expired: Vec<ChainHash> = self
            .expiring_shared
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(c, _)| *c)
            .collect();
        for chain in &expired {
            self.expiring_shared.remove(chain);
            self.users.remove(chain);
        }
        if !expired.is_empty() {
            due.push((None, expired));
        }
        due.retain(|(_, chains)| !chains.is_empty());
        due
    }

    /// Handles the loss of the engine's cache; observed pauses are kept.
    pub fn on_cache_lost(&mut self) {
        self.held.clear();
        self.timers.clear();
        self.users.clear();
        self.expiring_shared.clear();
        self.orphans.clear();
    }

    /// Whether any program's cached prefix contains the segment.
    #[must_use]
    pub fn is_used(&self, chain: ChainHash) -> bool {
        self.users.get(&chain).is_some_and(|users| users.count > 0)
    }

    /// Returns how long a program has been pausing, or none if it isn't.
    #[must_use]
    pub fn idle_us(&self, now: TimeUs, program: &ProgramId) -> Option<SpanUs> {
        let since_us = self.held.get(program)?.idle_since_us?;
        Some(now.since(since_us))
    }

    /// Returns the number of tokens in the cached prefixes of all programs.
    #[must_use]
    pub fn held_tokens(&self) -> Tokens {
        let segments = self.held.values().flat_map(|held| &held.chains);
        segments.map(|segment| segment.length_tokens).sum()
    }

    fn take_orphans(&mut self) -> Vec<ChainHash> {
        let mut orphans = std::mem::take(&mut self.orphans);
        orphans.retain(|chain| self.users.get(chain).is_some_and(|users| users.count == 0));
        for chain in &orphans {
            self.users.remove(chain);
        }
        orphans
    }

    fn remove_users(&mut self, chains: &[Segment]) {
        for segment in chains {
            if let Some(users) = self.users.get_mut(&segment.chain) {
                users.count = users.count.saturating_sub(1);
            }
        }
    }

    /// Removes one user of each segment, and returns the segments without users, except shared
    /// ones, which expire later.
    fn take_unused(&mut self, now: TimeUs, chains: &[Segment]) -> Vec<ChainHash> {
        self.remove_users(chains);
        let mut unused = Vec::new();
        for segment in chains {
            let Some(users) = self.users.get(&segment.chain) else {
                continue;
            };
            match (users.count, users.is_shared) {
                (0, true) if self.settings.shared_keep_us.0 > 0 => {
                    self.expiring_shared
                        .insert(segment.chain, now.after(self.settings.shared_keep_us));
                }
                (0, _) => {
                    self.users.remove(&segment.chain);
                    unused.push(segment.chain);
                }
                (_, _) => {}
            }
        }
        unused
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn segments(chains: &[u64]) -> Vec<Segment> {
        let one = |chain: &u64| Segment {
            chain: ChainHash(*chain),
            length_tokens: Tokens(10),
        };
        chains.iter().map(one).collect()
    }

    fn name<T: std::str::FromStr>(text: &str) -> T
    where
        T::Err: std::fmt::Debug,
    {
        text.parse().expect("a name")
    }

    #[test]
    fn shared_segments_outlive_their_last_user() {
        let mut retention = PrefixRetention::new(PrefixRetentionSettings {
            shared_keep_us: SpanUs::from_s(300),
            ..Default::default()
        });
        let (parent, child) = (name("p"), name("p.1"));
        let class = name("c");
        retention.on_turn_end(TimeUs(0), &parent, &class, None, &segments(&[1, 2]));
        retention.on_turn_end(TimeUs(1), &child, &class, None, &segments(&[1, 2, 3]));
        assert_eq!(
            retention.on_program_end(TimeUs(2), &child, true),
            [ChainHash(3)]
        );
        assert_eq!(retention.on_program_end(TimeUs(3), &parent, true), []);
        let shared = retention.take_expired(TimeUs(3).after(SpanUs::from_s(300)));
        assert_eq!(shared, [(None, vec![ChainHash(1), ChainHash(2)])]);
    }

    #[test]
    fn unbounded_pauses_shorten_the_retention() {
        let mut retention = PrefixRetention::default();
        let class: ClassName = name("c");
        for n in 0..20 {
            let program = name(&format!("p{n}"));
            retention.on_turn_end(TimeUs(0), &program, &class, None, &segments(&[n]));
            retention.on_program_end(TimeUs(900_000_000), &program, false);
        }
        assert_eq!(retention.keep_us(&class, None), SpanUs(0));
    }
}
