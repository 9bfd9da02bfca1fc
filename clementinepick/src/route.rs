//! Chooses the backend server for a call: the expected wait plus the prefill of what is not cached.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ServiceName, VmId, ZoneName};
use crate::message::BackendLoad;
use crate::platform::CacheEvent;
use crate::prompt::{ChainHash, Prompt};
use crate::units::{TimeUs, Tokens};

/// How choices are made.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The availability zone of this entry, preferred among equals.
    pub zone: Option<ZoneName>,
    /// What one running call counts for, in tokens of work.
    pub tokens_per_running: Tokens,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            zone: None,
            tokens_per_running: Tokens(256),
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

/// What is known of one backend server.
#[derive(Debug, Clone)]
struct Backend {
    service: ServiceName,
    zone: ZoneName,
    leaving: bool,
    load: BackendLoad,
    /// Own calls there that have not ended; the load report lags behind them.
    in_flight: u32,
    in_flight_tokens: Tokens,
    cached: BTreeSet<ChainHash>,
    next_cache_event: u64,
    failures_in_a_row: u32,
}

/// Failures in a row after which a backend server is chosen only when no other is left.
const SUSPECT_AFTER: u32 = 3;

/// The backend servers that this entry can reach.
#[derive(Debug, Clone, Default)]
pub struct Router {
    settings: RouteSettings,
    backends: BTreeMap<VmId, Backend>,
}

impl Router {
    /// A router that knows no backend server yet.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            backends: BTreeMap::new(),
        }
    }

    /// A backend server can be reached.
    pub fn add(&mut self, vm: VmId, service: ServiceName, zone: ZoneName) {
        let backend = Backend {
            service,
            zone,
            leaving: false,
            load: BackendLoad::default(),
            in_flight: 0,
            in_flight_tokens: Tokens(0),
            cached: BTreeSet::new(),
            next_cache_event: 0,
            failures_in_a_row: 0,
        };
        self.backends.insert(vm, backend);
    }

    /// A backend server can't be reached any more.
    pub fn remove(&mut self, vm: &VmId) {
        self.backends.remove(vm);
    }

    /// Says whether a backend server leaves; one that does gets nothing new.
    pub fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.leaving = leaving;
        }
    }

    /// A load report has come.
    pub fn on_load(&mut self, _now: TimeUs, vm: &VmId, load: BackendLoad) {
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.load = load;
        }
    }

    /// Cache events have come; says whether some are missing.
    ///
    /// After a gap nothing that was known can be trusted: a dropped prefix would draw calls to a
    /// server that has to prefill them all. So the view starts anew.
    pub fn on_cache(&mut self, vm: &VmId, first: u64, events: &[CacheEvent]) -> bool {
        let Some(backend) = self.backends.get_mut(vm) else {
            return false;
        };
        let gap = first != backend.next_cache_event;
        if gap {
            backend.cached.clear();
        }
        for event in events {
            match event {
                CacheEvent::Stored(segment) => {
                    backend.cached.insert(segment.chain);
                }
                CacheEvent::Dropped(chain) => {
                    backend.cached.remove(chain);
                }
            }
        }
        backend.next_cache_event = first + events.len() as u64;
        gap
    }

    /// The backend server that should run a call.
    #[must_use]
    pub fn pick(&self, _now: TimeUs, query: &RouteQuery<'_>) -> Option<VmId> {
        let fit = self.backends.iter().filter(|(vm, backend)| {
            backend.service == *query.service && !backend.leaving && !query.tried.contains(*vm)
        });
        let best = fit.min_by_key(|(vm, backend)| self.cost(vm, backend, query));
        best.map(|(vm, _)| vm.clone())
    }

    fn cost(
        &self,
        vm: &VmId,
        backend: &Backend,
        query: &RouteQuery<'_>,
    ) -> (bool, Tokens, bool, bool) {
        let suspect = backend.failures_in_a_row >= SUSPECT_AFTER;
        let running = u64::from(backend.in_flight.max(backend.load.engine.running));
        let waiting = backend
            .load
            .waiting_tokens
            .0
            .max(backend.in_flight_tokens.0);
        let prefill = query
            .prompt
            .map_or(0, |prompt| uncached_tokens(prompt, &backend.cached).0);
        let tokens = Tokens(running * self.settings.tokens_per_running.0 + waiting + prefill);
        let elsewhere = self
            .settings
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != backend.zone);
        (suspect, tokens, query.last != Some(vm), elsewhere)
    }

    /// A call was sent to a backend server.
    pub fn on_sent(&mut self, vm: &VmId, work_tokens: Tokens) {
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.in_flight += 1;
            backend.in_flight_tokens += work_tokens;
        }
    }

    /// A call has left a backend server.
    pub fn on_ended(&mut self, vm: &VmId, work_tokens: Tokens, failed: bool) {
        if let Some(backend) = self.backends.get_mut(vm) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            backend.in_flight_tokens = backend.in_flight_tokens.saturating_sub(work_tokens);
            backend.failures_in_a_row = if failed {
                backend.failures_in_a_row + 1
            } else {
                0
            };
        }
    }
}

fn uncached_tokens(prompt: &Prompt, cached: &BTreeSet<ChainHash>) -> Tokens {
    let uncached = prompt
        .segments
        .iter()
        .skip_while(|segment| cached.contains(&segment.chain));
    uncached.map(|segment| segment.length_tokens).sum()
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
        router.pick(TimeUs(0), &query).map(String::from)
    }

    #[test]
    fn a_cached_prefix_draws_its_calls_until_a_gap() {
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
        assert!(router.on_cache(&b1, 7, &[]));
        assert_eq!(
            pick(&router, &service, Some(&prompt)).as_deref(),
            Some("b0")
        );
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
