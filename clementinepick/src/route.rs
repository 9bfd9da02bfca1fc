//! Chooses the backend server for a call: the expected wait plus the prefill of what is not cached.
//!
//! A choice looks at a handful of candidates and never at all backend servers: the one of the last
//! turn, those that hold most of the prompt, two that the shared prefix always leads to, and the
//! ones with the least load. So its cost does not grow with the count of backend servers.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ServiceName, VmId, ZoneName};
use crate::message::BackendLoad;
use crate::platform::CacheEvent;
use crate::prompt::{ChainHash, Prompt, Segment};
use crate::units::{SpanUs, TimeUs, Tokens};

/// How choices are made.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The availability zone of this entry, preferred among equals.
    pub zone: Option<ZoneName>,
    /// What one running call counts for, in tokens of work.
    pub tokens_per_running: Tokens,
    /// What a prompt token that is not cached counts for, in tokens of waiting work. Above one,
    /// since its prefill holds up the whole batch and fills memory a second time.
    pub prefill_weight: u64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            zone: None,
            tokens_per_running: Tokens(256),
            prefill_weight: 2,
        }
    }
}

/// What a choice is made for.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt; absent for plain services.
    pub prompt: Option<&'a Prompt>,
    /// The backend server of the program's last turn.
    pub last: Option<&'a VmId>,
    /// Backend servers that were tried already.
    pub tried: &'a BTreeSet<VmId>,
}

/// A choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub vm: VmId,
    /// The part of the prompt that is probably not cached there.
    pub uncached_tokens: Tokens,
    /// The backend servers that were looked at.
    pub candidate_count: u32,
}

/// A backend server's place in its pool.
type Slot = u32;

/// What is known of one backend server.
#[derive(Debug, Clone)]
struct Backend {
    vm: VmId,
    zone: ZoneName,
    leaving: bool,
    load: BackendLoad,
    /// Own calls there that have not ended; the load report lags behind them.
    in_flight: u32,
    in_flight_tokens: Tokens,
    /// Own calls sent less own calls ended since the report.
    since_report: i64,
    since_report_tokens: i64,
    /// The known segments, with the count of gaps when they were last confirmed.
    cached: BTreeMap<ChainHash, u64>,
    gaps: u64,
    next_cache_event: u64,
    failures_in_a_row: u32,
    /// When the first report came since it became suspect.
    suspect_us: Option<TimeUs>,
}

/// Failures in a row after which a backend server is suspect and gets nothing.
const SUSPECT_AFTER: u32 = 3;
/// How long a suspect one reports before it gets one call for trial.
const TRIAL_AFTER: SpanUs = SpanUs::from_s(5);
/// Backend servers with the deepest known prefix that are looked at.
const HOLDERS: usize = 4;
/// Backend servers with the least load that are looked at.
const LEAST_LOADED: usize = 2;
/// Backend servers that a shared prefix always leads to.
const FIXED_CHOICES: u64 = 2;
/// Segments at a prompt's end that are looked up one by one.
const WALK: usize = 64;

impl Backend {
    const fn is_suspect(&self) -> bool {
        self.failures_in_a_row >= SUSPECT_AFTER
    }

    /// The work ahead of a new call, in tokens: the lagging report, corrected by the own calls since
    /// and never below what this entry alone has there.
    fn load_tokens(&self, per_running: Tokens) -> u64 {
        let reported = u64::from(self.load.engine.running + self.load.engine.waiting);
        let calls = reported
            .saturating_add_signed(self.since_report)
            .max(u64::from(self.in_flight));
        let waiting = self
            .load
            .waiting_tokens
            .0
            .saturating_add_signed(self.since_report_tokens);
        calls * per_running.0 + waiting.max(self.in_flight_tokens.0)
    }

    /// What of the prompt is not known to be cached. After a gap what was known may have been
    /// dropped unseen, and counts for half: as cached it would draw calls to a server that has to
    /// prefill them all, as gone it would scatter every program at each gap.
    fn uncached_tokens(&self, segments: &[Segment]) -> Tokens {
        let whole: Tokens = segments.iter().map(|segment| segment.length_tokens).sum();
        let deepest = segments
            .iter()
            .rposition(|segment| self.cached.contains_key(&segment.chain));
        let Some(deepest) = deepest else { return whole };
        let known: Tokens = segments[..=deepest].iter().map(|s| s.length_tokens).sum();
        let confirmed = self.cached[&segments[deepest].chain] == self.gaps;
        whole.saturating_sub(if confirmed {
            known
        } else {
            Tokens(known.0 / 2)
        })
    }
}

/// The backend servers of one service.
#[derive(Debug, Clone, Default)]
struct Pool {
    slots: BTreeMap<Slot, Backend>,
    by_vm: BTreeMap<VmId, Slot>,
    next: Slot,
    suspects: usize,
    /// Those that stay, least loaded first.
    by_load: BTreeSet<(u64, Slot)>,
    /// Where a shared prefix leads: each backend server has one place on a ring.
    ring: BTreeMap<u64, Slot>,
    holders: BTreeMap<ChainHash, BTreeSet<Slot>>,
}

impl Pool {
    /// Whether a backend server may get a call.
    ///
    /// When half of them fail, the cause is hardly theirs: a common fault or too much load. To leave
    /// them all out would bring the rest down as well, so then suspicion counts for nothing.
    fn is_free(&self, backend: &Backend, query: &RouteQuery<'_>) -> bool {
        let is_trusted = !backend.is_suspect() || self.suspects * 2 >= self.slots.len();
        !backend.leaving && is_trusted && !query.tried.contains(&backend.vm)
    }
}

/// The backend servers that this entry can reach.
#[derive(Debug, Clone, Default)]
pub struct Router {
    settings: RouteSettings,
    pools: BTreeMap<ServiceName, Pool>,
    service_of: BTreeMap<VmId, ServiceName>,
}

impl Router {
    /// A router that knows no backend server yet.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// A backend server can be reached.
    pub fn add(&mut self, vm: VmId, service: ServiceName, zone: ZoneName) {
        self.remove(&vm);
        let pool = self.pools.entry(service.clone()).or_default();
        let slot = pool.next;
        pool.next += 1;
        let backend = Backend {
            vm: vm.clone(),
            zone,
            leaving: false,
            load: BackendLoad::default(),
            in_flight: 0,
            in_flight_tokens: Tokens(0),
            since_report: 0,
            since_report_tokens: 0,
            cached: BTreeMap::new(),
            gaps: 0,
            next_cache_event: 0,
            failures_in_a_row: 0,
            suspect_us: None,
        };
        pool.ring.insert(place(&vm), slot);
        pool.by_vm.insert(vm.clone(), slot);
        pool.slots.insert(slot, backend);
        pool.by_load.insert((0, slot));
        self.service_of.insert(vm, service);
    }

    /// A backend server can't be reached any more.
    pub fn remove(&mut self, vm: &VmId) {
        let per_running = self.settings.tokens_per_running;
        let Some(pool) = self
            .service_of
            .remove(vm)
            .and_then(|s| self.pools.get_mut(&s))
        else {
            return;
        };
        let Some(slot) = pool.by_vm.remove(vm) else {
            return;
        };
        let Some(backend) = pool.slots.remove(&slot) else {
            return;
        };
        pool.by_load
            .remove(&(backend.load_tokens(per_running), slot));
        pool.ring.remove(&place(vm));
        pool.suspects -= usize::from(backend.is_suspect());
        for chain in backend.cached.keys() {
            forget_holder(&mut pool.holders, *chain, slot);
        }
    }

    /// Says whether a backend server leaves; one that does gets nothing new.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        self.change(vm, |backend| backend.leaving = leaving);
    }

    /// A load report has come.
    ///
    /// A suspect backend server that goes on reporting gets one call for trial after a while.
    /// Without it nothing would ever show that it works again.
    pub fn on_load(&mut self, now: TimeUs, vm: &VmId, load: BackendLoad) {
        self.change(vm, |backend| {
            if backend.is_suspect() {
                let since_us = *backend.suspect_us.get_or_insert(now);
                if now.since(since_us) >= TRIAL_AFTER {
                    backend.failures_in_a_row = SUSPECT_AFTER - 1;
                    backend.suspect_us = None;
                }
            }
            backend.load = load;
            backend.since_report = 0;
            backend.since_report_tokens = 0;
        });
    }

    /// Cache events have come; says whether some are missing.
    pub fn on_cache(&mut self, vm: &VmId, first: u64, events: &[CacheEvent]) -> bool {
        let Some((pool, slot)) = self.pool_of(vm) else {
            return false;
        };
        let Some(backend) = pool.slots.get_mut(&slot) else {
            return false;
        };
        let gap = first != backend.next_cache_event;
        if gap {
            backend.gaps += 1;
            // What was doubtful before this gap already is given up, or it would pile up for ever.
            let gaps = backend.gaps;
            let old = backend.cached.iter().filter(|(_, seen)| **seen + 1 < gaps);
            let old: Vec<ChainHash> = old.map(|(chain, _)| *chain).collect();
            for chain in old {
                backend.cached.remove(&chain);
                forget_holder(&mut pool.holders, chain, slot);
            }
        }
        backend.next_cache_event = first + events.len() as u64;
        for event in events {
            match event {
                CacheEvent::Stored(segment) => {
                    backend.cached.insert(segment.chain, backend.gaps);
                    pool.holders.entry(segment.chain).or_default().insert(slot);
                }
                CacheEvent::Dropped(chain) => {
                    backend.cached.remove(chain);
                    forget_holder(&mut pool.holders, *chain, slot);
                }
            }
        }
        gap
    }

    /// A turn has ended: its prompt lies in the cache, though the events that say so come later.
    pub fn on_prompt_cached(&mut self, vm: &VmId, prompt: &Prompt) {
        let Some((pool, slot)) = self.pool_of(vm) else {
            return;
        };
        let Some(backend) = pool.slots.get_mut(&slot) else {
            return;
        };
        for segment in &prompt.segments {
            backend.cached.insert(segment.chain, backend.gaps);
            pool.holders.entry(segment.chain).or_default().insert(slot);
        }
    }

    /// The backend server that should run a call.
    #[must_use]
    pub fn pick(&self, _now: TimeUs, query: &RouteQuery<'_>) -> Option<Choice> {
        let pool = self.pools.get(query.service)?;
        let segments = query.prompt.map_or(&[][..], |prompt| &prompt.segments);
        let candidates = candidates(pool, query, segments);
        let fit: Vec<&Backend> = candidates
            .iter()
            .filter_map(|slot| pool.slots.get(slot))
            .filter(|backend| pool.is_free(backend, query))
            .collect();
        let candidate_count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let best = fit
            .into_iter()
            .min_by_key(|backend| self.cost(backend, query, segments));
        let best = best.or_else(|| last_resort(pool, query))?;
        Some(Choice {
            vm: best.vm.clone(),
            uncached_tokens: best.uncached_tokens(segments),
            candidate_count,
        })
    }

    fn cost(
        &self,
        backend: &Backend,
        query: &RouteQuery<'_>,
        segments: &[Segment],
    ) -> (u64, bool, bool) {
        let prefill = backend.uncached_tokens(segments).0 * self.settings.prefill_weight;
        let load = backend.load_tokens(self.settings.tokens_per_running);
        let elsewhere = self
            .settings
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != backend.zone);
        (load + prefill, query.last != Some(&backend.vm), elsewhere)
    }

    /// A call was sent to a backend server.
    pub fn on_sent(&mut self, vm: &VmId, work: Tokens) {
        self.change(vm, |backend| {
            backend.in_flight += 1;
            backend.in_flight_tokens += work;
            backend.since_report += 1;
            backend.since_report_tokens += signed(work);
        });
    }

    /// A call has left a backend server.
    pub fn on_ended(&mut self, vm: &VmId, work: Tokens, failed: bool) {
        self.change(vm, |backend| {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            backend.in_flight_tokens = backend.in_flight_tokens.saturating_sub(work);
            backend.since_report -= 1;
            backend.failures_in_a_row = if failed {
                backend.failures_in_a_row + 1
            } else {
                0
            };
        });
    }

    fn pool_of(&mut self, vm: &VmId) -> Option<(&mut Pool, Slot)> {
        let pool = self.pools.get_mut(self.service_of.get(vm)?)?;
        let slot = *pool.by_vm.get(vm)?;
        Some((pool, slot))
    }

    /// Changes what is known of a backend server and keeps the order by load in step.
    fn change(&mut self, vm: &VmId, change: impl FnOnce(&mut Backend)) {
        let per_running = self.settings.tokens_per_running;
        let Some((pool, slot)) = self.pool_of(vm) else {
            return;
        };
        let Some(backend) = pool.slots.get_mut(&slot) else {
            return;
        };
        pool.by_load
            .remove(&(backend.load_tokens(per_running), slot));
        pool.suspects -= usize::from(backend.is_suspect());
        change(backend);
        pool.suspects += usize::from(backend.is_suspect());
        if !backend.leaving {
            pool.by_load
                .insert((backend.load_tokens(per_running), slot));
        }
    }
}

/// The backend servers that are worth a look.
fn candidates(pool: &Pool, query: &RouteQuery<'_>, segments: &[Segment]) -> BTreeSet<Slot> {
    let mut found: BTreeSet<Slot> = query
        .last
        .and_then(|vm| pool.by_vm.get(vm))
        .copied()
        .into_iter()
        .collect();
    let is_free = |slot: &Slot| {
        pool.slots
            .get(slot)
            .is_some_and(|backend| pool.is_free(backend, query))
    };
    let deepest = segments
        .iter()
        .rev()
        .take(WALK)
        .find_map(|s| pool.holders.get(&s.chain));
    found.extend(
        deepest
            .into_iter()
            .flatten()
            .filter(|slot| is_free(slot))
            .take(HOLDERS),
    );
    if let Some(shared) = segments.first() {
        for choice in 0..FIXED_CHOICES {
            let from = xxh3_64_with_seed(&shared.chain.0.to_le_bytes(), choice);
            let around = pool.ring.range(from..).chain(pool.ring.range(..from));
            found.extend(
                around
                    .map(|(_, slot)| *slot)
                    .take(HOLDERS)
                    .find(|slot| is_free(slot)),
            );
        }
    }
    let least = pool
        .by_load
        .iter()
        .map(|(_, slot)| *slot)
        .filter(|slot| is_free(slot));
    found.extend(least.take(LEAST_LOADED));
    found
}

/// When all that may be chosen are suspect: better one of them than none.
fn last_resort<'a>(pool: &'a Pool, query: &RouteQuery<'_>) -> Option<&'a Backend> {
    let left = pool
        .slots
        .values()
        .filter(|backend| !backend.leaving && !query.tried.contains(&backend.vm));
    left.min_by_key(|backend| backend.failures_in_a_row)
}

fn forget_holder(holders: &mut BTreeMap<ChainHash, BTreeSet<Slot>>, chain: ChainHash, slot: Slot) {
    if let Some(slots) = holders.get_mut(&chain) {
        slots.remove(&slot);
        if slots.is_empty() {
            holders.remove(&chain);
        }
    }
}

fn place(vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), 0)
}

fn signed(tokens: Tokens) -> i64 {
    i64::try_from(tokens.0).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::prompt::Segment;

    fn router() -> (Router, ServiceName) {
        let service: ServiceName = "s".parse().expect("a name");
        let mut router = Router::default();
        for vm in ["b0", "b1"] {
            let zone = "z".parse().expect("a name");
            router.add(vm.parse().expect("a name"), service.clone(), zone);
        }
        (router, service)
    }

    fn pick(router: &Router, service: &ServiceName, prompt: Option<&Prompt>) -> Option<String> {
        let tried = BTreeSet::new();
        let query = RouteQuery {
            service,
            prompt,
            last: None,
            tried: &tried,
        };
        router
            .pick(TimeUs(0), &query)
            .map(|choice| choice.vm.into())
    }

    #[test]
    fn a_cached_prefix_draws_its_calls_until_gaps_make_it_doubtful() {
        let (mut router, service) = router();
        let segment = Segment {
            chain: ChainHash(5),
            length_tokens: Tokens(900),
        };
        let prompt = Prompt {
            segments: vec![segment],
        };
        let b1 = "b1".parse().expect("a name");
        assert!(!router.on_cache(&b1, 0, &[CacheEvent::Stored(segment)]));
        assert_eq!(
            pick(&router, &service, Some(&prompt)).as_deref(),
            Some("b1")
        );
        // One gap makes it doubtful, and it still draws; a second one without a word gives it up.
        assert!(router.on_cache(&b1, 7, &[]));
        assert_eq!(
            pick(&router, &service, Some(&prompt)).as_deref(),
            Some("b1")
        );
        assert!(router.on_cache(&b1, 9, &[]));
        assert_eq!(
            pick(&router, &service, Some(&prompt)).as_deref(),
            Some("b0")
        );
    }

    // Three calls in a row fail at one server: it gets nothing more. It goes on reporting, so after
    // a while one call tries it, and once that ends well it is trusted again.
    #[test]
    fn a_suspect_backend_server_is_left_out_and_tried_again() {
        let (mut router, service) = router();
        let third = "b2".parse().expect("a name");
        router.add(third, service.clone(), "z".parse().expect("a name"));
        let b0 = "b0".parse().expect("a name");
        for _ in 0..SUSPECT_AFTER {
            assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
            router.on_sent(&b0, Tokens(0));
            router.on_ended(&b0, Tokens(0), true);
        }
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b1"));
        router.on_load(TimeUs(0), &b0, BackendLoad::default());
        router.on_load(TimeUs(0).after(TRIAL_AFTER), &b0, BackendLoad::default());
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
    }

    #[test]
    fn when_half_of_them_fail_none_is_left_out() {
        let (mut router, service) = router();
        let b0: VmId = "b0".parse().expect("a name");
        for _ in 0..SUSPECT_AFTER {
            router.on_sent(&b0, Tokens(0));
            router.on_ended(&b0, Tokens(0), true);
        }
        let b1: VmId = "b1".parse().expect("a name");
        router.on_sent(&b1, Tokens(9));
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
    }

    #[test]
    fn a_leaving_backend_server_gets_nothing() {
        let (mut router, service) = router();
        for vm in ["b0", "b1"] {
            router.set_leaving(&vm.parse().expect("a name"), true);
        }
        assert_eq!(pick(&router, &service, None), None);
    }
}
