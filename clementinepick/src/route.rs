//! Chooses the backend server for a call by the expected wait plus the prefill of uncached tokens.
//!
//! A choice compares only a few candidates: the backend server of the last turn, those that cache
//! most of the prompt, two that the shared prefix hashes to, and the least loaded ones. So its cost
//! does not grow with the number of backend servers.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ServiceName, VmId, ZoneName};
use crate::message::BackendLoad;
use crate::platform::CacheEvent;
use crate::prompt::{ChainHash, Prompt, Segment};
use crate::units::{SpanUs, TimeUs, Tokens};

/// The settings of a router.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The availability zone of this entry, preferred among equally good candidates.
    pub zone: Option<ZoneName>,
    /// The weight of one running call, in tokens of work.
    pub tokens_per_running: Tokens,
    /// The weight of an uncached prompt token, in tokens of waiting work. It is above one because
    /// the prefill delays the whole batch and caches the prompt a second time.
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

/// The call for which a backend server is chosen.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt; absent for plain services.
    pub prompt: Option<&'a Prompt>,
    /// The backend server of the program's last turn.
    pub last: Option<&'a VmId>,
    /// The backend servers that must not be chosen, such as those already tried.
    pub tried: &'a BTreeSet<VmId>,
}

/// A chosen backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub vm: VmId,
    /// The part of the prompt that is expected not to be cached there.
    pub uncached_tokens: Tokens,
    /// The number of backend servers that were compared.
    pub candidate_count: u32,
}

/// The number of a backend server in its pool.
type Slot = u32;

/// The state of one backend server.
#[derive(Debug, Clone)]
struct Backend {
    vm: VmId,
    zone: ZoneName,
    leaving: bool,
    load: BackendLoad,
    /// The calls of this entry there that have not ended; load reports lag behind them.
    in_flight: u32,
    in_flight_tokens: Tokens,
    /// The calls of this entry sent since the last report, minus those ended.
    since_report: i64,
    since_report_tokens: i64,
    /// The known segments, with the value of `gaps` when they were last confirmed.
    cached: BTreeMap<ChainHash, u64>,
    gaps: u64,
    next_cache_event: u64,
    failures_in_a_row: u32,
    /// When the first report arrived after the backend server became suspect.
    suspect_us: Option<TimeUs>,
}

/// The number of consecutive failures after which a backend server is suspect and gets no calls.
const SUSPECT_FAILURES: u32 = 3;
/// How long a suspect backend server must keep reporting before it gets one probe call.
const PROBE_DELAY: SpanUs = SpanUs::from_s(5);
/// The maximum number of candidates with the longest known prefix, and of ring positions searched.
const MAX_PREFIX_CANDIDATES: usize = 4;
/// The maximum number of candidates with the least load.
const MAX_LEAST_LOADED_CANDIDATES: usize = 2;
/// The number of candidates that a shared prefix hashes to.
const RING_CANDIDATES: u64 = 2;
/// The maximum number of segments looked up from a prompt's end.
const MAX_SEGMENT_LOOKUPS: usize = 64;

impl Backend {
    const fn is_suspect(&self) -> bool {
        self.failures_in_a_row >= SUSPECT_FAILURES
    }

    /// Returns the work ahead of a new call, in tokens: the last report, corrected by this entry's
    /// calls since then, but at least the work that this entry has there.
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

    /// Returns the part of a prompt that is not known to be cached.
    ///
    /// After a gap in the cache events, known segments may have been evicted and count for half.
    /// Counted in full, they would attract calls that need a whole prefill; not counted, each gap
    /// would spread every program over other backend servers.
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
    /// The backend servers that are not leaving, least loaded first.
    by_load: BTreeSet<(u64, Slot)>,
    /// The hash ring for shared prefixes, with one position per backend server.
    ring: BTreeMap<u64, Slot>,
    holders: BTreeMap<ChainHash, BTreeSet<Slot>>,
}

impl Pool {
    /// Returns whether a backend server may get a call.
    ///
    /// If half of the pool is suspect, the cause is probably a common fault or overload. Excluding
    /// them would overload the rest as well, so suspicion is ignored then.
    fn is_eligible(&self, backend: &Backend, query: &RouteQuery<'_>) -> bool {
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
    /// Creates a router without backend servers.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a backend server that has become reachable.
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
        pool.ring.insert(ring_position(&vm), slot);
        pool.by_vm.insert(vm.clone(), slot);
        pool.slots.insert(slot, backend);
        pool.by_load.insert((0, slot));
        self.service_of.insert(vm, service);
    }

    /// Removes a backend server that is no longer reachable.
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
        pool.ring.remove(&ring_position(vm));
        pool.suspects -= usize::from(backend.is_suspect());
        for chain in backend.cached.keys() {
            remove_holder(&mut pool.holders, *chain, slot);
        }
    }

    /// Sets whether a backend server is leaving; a leaving one gets no new calls.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        self.update_backend(vm, |backend| backend.leaving = leaving);
    }

    /// Applies a load report.
    ///
    /// A suspect backend server that keeps reporting gets one probe call after `PROBE_DELAY`.
    /// Without the probe its recovery would never be noticed.
    pub fn on_load(&mut self, now: TimeUs, vm: &VmId, load: BackendLoad) {
        self.update_backend(vm, |backend| {
            if backend.is_suspect() {
                let since_us = *backend.suspect_us.get_or_insert(now);
                if now.since(since_us) >= PROBE_DELAY {
                    backend.failures_in_a_row = SUSPECT_FAILURES - 1;
                    backend.suspect_us = None;
                }
            }
            backend.load = load;
            backend.since_report = 0;
            backend.since_report_tokens = 0;
        });
    }

    /// Applies cache events and returns whether events before them were lost.
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
            // Segments that were unconfirmed before this gap are dropped, or they would accumulate.
            let gaps = backend.gaps;
            let old = backend.cached.iter().filter(|(_, seen)| **seen + 1 < gaps);
            let old: Vec<ChainHash> = old.map(|(chain, _)| *chain).collect();
            for chain in old {
                backend.cached.remove(&chain);
                remove_holder(&mut pool.holders, chain, slot);
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
                    remove_holder(&mut pool.holders, *chain, slot);
                }
            }
        }
        gap
    }

    /// Marks the prompt of an ended turn as cached before the cache events report it.
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

    /// Chooses the backend server for a call; `None` if none may get it.
    #[must_use]
    pub fn pick(&self, _now: TimeUs, query: &RouteQuery<'_>) -> Option<Choice> {
        let pool = self.pools.get(query.service)?;
        let segments = query.prompt.map_or(&[][..], |prompt| &prompt.segments);
        let candidates = find_candidates(pool, query, segments);
        let eligible: Vec<&Backend> = candidates
            .iter()
            .filter_map(|slot| pool.slots.get(slot))
            .filter(|backend| pool.is_eligible(backend, query))
            .collect();
        let candidate_count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let best = eligible
            .into_iter()
            .min_by_key(|backend| self.cost(backend, query, segments));
        let best = best.or_else(|| least_failing(pool, query))?;
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

    /// Accounts for a call that was sent to a backend server.
    pub fn on_sent(&mut self, vm: &VmId, work: Tokens) {
        self.update_backend(vm, |backend| {
            backend.in_flight += 1;
            backend.in_flight_tokens += work;
            backend.since_report += 1;
            backend.since_report_tokens += to_signed(work);
        });
    }

    /// Accounts for a call that has ended at a backend server.
    pub fn on_ended(&mut self, vm: &VmId, work: Tokens, failed: bool) {
        self.update_backend(vm, |backend| {
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

    /// Updates the state of a backend server and its position in the order by load.
    fn update_backend(&mut self, vm: &VmId, change: impl FnOnce(&mut Backend)) {
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

/// Returns the backend servers to compare for a call.
fn find_candidates(pool: &Pool, query: &RouteQuery<'_>, segments: &[Segment]) -> BTreeSet<Slot> {
    let mut found: BTreeSet<Slot> = query
        .last
        .and_then(|vm| pool.by_vm.get(vm))
        .copied()
        .into_iter()
        .collect();
    let is_eligible = |slot: &Slot| {
        pool.slots
            .get(slot)
            .is_some_and(|backend| pool.is_eligible(backend, query))
    };
    let deepest = segments
        .iter()
        .rev()
        .take(MAX_SEGMENT_LOOKUPS)
        .find_map(|s| pool.holders.get(&s.chain));
    found.extend(
        deepest
            .into_iter()
            .flatten()
            .filter(|slot| is_eligible(slot))
            .take(MAX_PREFIX_CANDIDATES),
    );
    if let Some(shared) = segments.first() {
        for choice in 0..RING_CANDIDATES {
            let from = xxh3_64_with_seed(&shared.chain.0.to_le_bytes(), choice);
            let around = pool.ring.range(from..).chain(pool.ring.range(..from));
            found.extend(
                around
                    .map(|(_, slot)| *slot)
                    .take(MAX_PREFIX_CANDIDATES)
                    .find(|slot| is_eligible(slot)),
            );
        }
    }
    let least = pool
        .by_load
        .iter()
        .map(|(_, slot)| *slot)
        .filter(|slot| is_eligible(slot));
    found.extend(least.take(MAX_LEAST_LOADED_CANDIDATES));
    found
}

/// Returns the backend server with the fewest failures, for when all are suspect.
fn least_failing<'a>(pool: &'a Pool, query: &RouteQuery<'_>) -> Option<&'a Backend> {
    let left = pool
        .slots
        .values()
        .filter(|backend| !backend.leaving && !query.tried.contains(&backend.vm));
    left.min_by_key(|backend| backend.failures_in_a_row)
}

fn remove_holder(holders: &mut BTreeMap<ChainHash, BTreeSet<Slot>>, chain: ChainHash, slot: Slot) {
    if let Some(slots) = holders.get_mut(&chain) {
        slots.remove(&slot);
        if slots.is_empty() {
            holders.remove(&chain);
        }
    }
}

fn ring_position(vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), 0)
}

fn to_signed(tokens: Tokens) -> i64 {
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
    fn a_cached_prefix_attracts_calls_until_two_gaps_in_the_events() {
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
        // After one gap the prefix still counts for half; after a second one it is dropped.
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

    // A backend server that fails three calls in a row gets no more. It keeps reporting, so it must
    // get a probe call later, or its recovery would never be noticed.
    #[test]
    fn a_suspect_backend_server_gets_no_calls_until_a_probe() {
        let (mut router, service) = router();
        let third = "b2".parse().expect("a name");
        router.add(third, service.clone(), "z".parse().expect("a name"));
        let b0 = "b0".parse().expect("a name");
        for _ in 0..SUSPECT_FAILURES {
            assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
            router.on_sent(&b0, Tokens(0));
            router.on_ended(&b0, Tokens(0), true);
        }
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b1"));
        router.on_load(TimeUs(0), &b0, BackendLoad::default());
        router.on_load(TimeUs(0).after(PROBE_DELAY), &b0, BackendLoad::default());
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
    }

    #[test]
    fn suspects_stay_eligible_if_they_are_half_of_the_pool() {
        let (mut router, service) = router();
        let b0: VmId = "b0".parse().expect("a name");
        for _ in 0..SUSPECT_FAILURES {
            router.on_sent(&b0, Tokens(0));
            router.on_ended(&b0, Tokens(0), true);
        }
        let b1: VmId = "b1".parse().expect("a name");
        router.on_sent(&b1, Tokens(9));
        assert_eq!(pick(&router, &service, None).as_deref(), Some("b0"));
    }

    #[test]
    fn a_leaving_backend_server_gets_no_calls() {
        let (mut router, service) = router();
        for vm in ["b0", "b1"] {
            router.set_leaving(&vm.parse().expect("a name"), true);
        }
        assert_eq!(pick(&router, &service, None), None);
    }
}
