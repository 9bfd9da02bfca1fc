//! Decides how long an engine keeps the prefix of a program that pauses.
//!
//! An engine keeps all until its memory is full and then drops what was used longest ago, which may
//! be the prefix of a program that is about to return, while the memory is full of programs that
//! are gone. Here each prefix is kept as long as its expected reuse pays for the memory.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ClassName, ProgramId, ToolName};
use crate::predict::{Predictor, optimal_retention};
use crate::prompt::{ChainHash, Segment};
use crate::units::{SpanUs, TimeUs, Tokens};

/// How prefixes are kept.
#[derive(Debug, Clone)]
pub struct PrefixRetentionSettings {
    /// The price of a prefix's memory a second, in thousandths of what its prefill costs.
    pub price_milli_per_s: u64,
    /// How long a prefix is kept before anything is known of pauses.
    pub default_keep_us: SpanUs,
    /// The longest that one is kept.
    pub max_keep_us: SpanUs,
    /// How long a prefix that several programs have used is kept after its last use.
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

/// A program's prefix at this engine.
#[derive(Debug, Clone)]
struct Held {
    chains: Vec<Segment>,
    class: ClassName,
    tool: Option<ToolName>,
    /// Since when the program pauses; absent while one of its calls runs.
    idle_since_us: Option<TimeUs>,
    /// When it is released; absent once it was.
    until_us: Option<TimeUs>,
}

/// Who uses a segment.
#[derive(Debug, Clone, Copy, Default)]
struct Users {
    count: u32,
    /// Whether more than one program has ever used it here.
    shared: bool,
}

/// The prefixes that one engine keeps, and what is known of pauses.
#[derive(Debug, Clone, Default)]
pub struct PrefixRetention {
    settings: PrefixRetentionSettings,
    pauses: Predictor,
    held: BTreeMap<ProgramId, Held>,
    timers: BTreeSet<(TimeUs, ProgramId)>,
    users: BTreeMap<ChainHash, Users>,
    /// Segments that a program no longer continues.
    orphans: Vec<ChainHash>,
    /// Shared segments without a user, with the time at which they are released.
    lingering: BTreeMap<ChainHash, TimeUs>,
}

impl PrefixRetention {
    /// An engine that keeps nothing yet.
    #[must_use]
    pub fn new(settings: PrefixRetentionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes new settings; they hold from each prefix's next pause on.
    pub fn set(&mut self, settings: PrefixRetentionSettings) {
        self.settings = settings;
    }

    /// A call of the program has come: its pause is over.
    pub fn on_call(&mut self, now: TimeUs, program: &ProgramId) {
        let Some(held) = self.held.get_mut(program) else {
            return;
        };
        if let Some(since_us) = held.idle_since_us.take() {
            let pause_us = now.since(since_us).0;
            self.pauses
                .observe(&held.class, held.tool.as_ref(), Some(pause_us));
        }
        if let Some(until_us) = held.until_us.take() {
            self.timers.remove(&(until_us, program.clone()));
        }
    }

    /// A turn has ended and left `cached` in the engine; says until when it is kept.
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
        self.forget(&old);
        for segment in cached {
            let users = self.users.entry(segment.chain).or_default();
            users.count += 1;
            users.shared |= users.count > 1;
            if self.lingering.remove(&segment.chain).is_some() {
                users.shared = true;
            }
        }
        // A transcript that was changed leaves segments behind that nobody would ever name again.
        let left = old.iter().map(|segment| segment.chain);
        self.orphans
            .extend(left.filter(|chain| self.users.get(chain).is_some_and(|u| u.count == 0)));
        let until_us = now.after(self.keep_us(class, tool));
        self.timers.insert((until_us, program.clone()));
        let held = Held {
            chains: cached.to_vec(),
            class: class.clone(),
            tool: tool.cloned(),
            idle_since_us: Some(now),
            until_us: Some(until_us),
        };
        self.held.insert(program.clone(), held);
        until_us
    }

    /// How long a prefix is kept when its program pauses now.
    #[must_use]
    pub fn keep_us(&self, class: &ClassName, tool: Option<&ToolName>) -> SpanUs {
        let Some(pauses) = self.pauses.histogram(class, tool) else {
            return self.settings.default_keep_us;
        };
        optimal_retention(pauses, self.settings.price_milli_per_s).min(self.settings.max_keep_us)
    }

    /// The program has ended, or has moved to another engine; names what nobody else uses.
    ///
    /// A program that is known to have ended teaches nothing about pauses; one that nobody ended
    /// (`known` false) is one that never came back.
    pub fn on_program_end(
        &mut self,
        now: TimeUs,
        program: &ProgramId,
        known: bool,
    ) -> Vec<ChainHash> {
        let Some(held) = self.held.remove(program) else {
            return Vec::new();
        };
        if let Some(until_us) = held.until_us {
            self.timers.remove(&(until_us, program.clone()));
        }
        if held.idle_since_us.is_some() && !known {
            self.pauses.observe(&held.class, held.tool.as_ref(), None);
        }
        self.drop_unused(now, &held.chains)
    }

    /// Names the prefixes that do not pay any more, by program; shared ones come without a program.
    pub fn take_expired(&mut self, now: TimeUs) -> Vec<(Option<ProgramId>, Vec<ChainHash>)> {
        let mut due = vec![(None, self.drop_orphans())];
        while let Some((until_us, program)) = self.timers.first().cloned() {
            if until_us > now {
                break;
            }
            self.timers.remove(&(until_us, program.clone()));
            let Some(held) = self.held.get_mut(&program) else {
                continue;
            };
            held.until_us = None;
            // The entry stays without chains: only so a late return is still learned.
            let chains = std::mem::take(&mut held.chains);
            due.push((Some(program), self.drop_unused(now, &chains)));
        }
        let over: Vec<ChainHash> = self
            .lingering
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(c, _)| *c)
            .collect();
        for chain in &over {
            self.lingering.remove(chain);
            self.users.remove(chain);
        }
        if !over.is_empty() {
            due.push((None, over));
        }
        due.retain(|(_, chains)| !chains.is_empty());
        due
    }

    /// The engine has lost its cache; what is known of pauses stays.
    pub fn on_cache_lost(&mut self) {
        self.held.clear();
        self.timers.clear();
        self.users.clear();
        self.lingering.clear();
        self.orphans.clear();
    }

    /// Whether a program that is kept here uses a segment.
    #[must_use]
    pub fn is_used(&self, chain: ChainHash) -> bool {
        self.users.get(&chain).is_some_and(|users| users.count > 0)
    }

    /// How long a program has been pausing; nothing while it runs.
    #[must_use]
    pub fn idle_us(&self, now: TimeUs, program: &ProgramId) -> Option<SpanUs> {
        let since_us = self.held.get(program)?.idle_since_us?;
        Some(now.since(since_us))
    }

    /// The tokens that paused programs keep here.
    #[must_use]
    pub fn held_tokens(&self) -> Tokens {
        let segments = self.held.values().flat_map(|held| &held.chains);
        segments.map(|segment| segment.length_tokens).sum()
    }

    fn drop_orphans(&mut self) -> Vec<ChainHash> {
        let mut orphans = std::mem::take(&mut self.orphans);
        orphans.retain(|chain| self.users.get(chain).is_some_and(|users| users.count == 0));
        for chain in &orphans {
            self.users.remove(chain);
        }
        orphans
    }

    fn forget(&mut self, chains: &[Segment]) {
        for segment in chains {
            if let Some(users) = self.users.get_mut(&segment.chain) {
                users.count = users.count.saturating_sub(1);
            }
        }
    }

    /// Counts one user less, and names the segments that have none left; shared ones linger.
    fn drop_unused(&mut self, now: TimeUs, chains: &[Segment]) -> Vec<ChainHash> {
        self.forget(chains);
        let mut unused = Vec::new();
        for segment in chains {
            let Some(users) = self.users.get(&segment.chain) else {
                continue;
            };
            match (users.count, users.shared) {
                (0, true) if self.settings.shared_keep_us.0 > 0 => {
                    self.lingering
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
    fn what_a_sub_agent_shares_stays_until_its_last_user_ends() {
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
    fn pauses_that_never_end_are_learned() {
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
