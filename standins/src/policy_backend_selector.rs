//! Selects backend servers for an entry of a run, by a baseline policy or by the router.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::ids::{ServiceName, VmId, ZoneName};
use clementinepick::message::BackendLoad;
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::Prompt;
use clementinepick::route::{Choice, RouteQuery, Router};
use clementinepick::units::{TimeUs, Tokens};

use crate::policy_run_settings::{Routing, RunSettings};

/// The state of a backend server as a baseline policy sees it.
#[derive(Debug, Clone)]
struct BackendState {
    service: ServiceName,
    is_up: bool,
    reported_calls: u32,
    /// Calls sent minus calls ended by this entry since the last report.
    unreported_calls: i64,
}

/// Returns the choice of a baseline policy, which ignores caches.
fn cache_unaware_choice(vm: &VmId) -> Choice {
    Choice {
        vm: vm.clone(),
        uncached_tokens: Tokens(0),
        candidate_count: 0,
    }
}

/// Selects backend servers for one entry.
#[derive(Debug)]
pub struct BackendSelector {
    routing: Routing,
    router: Router,
    states: BTreeMap<VmId, BackendState>,
    next_index: BTreeMap<ServiceName, usize>,
}

impl BackendSelector {
    /// Creates a selector over the given backend servers, all available.
    #[must_use]
    pub fn new(run_settings: &RunSettings, backends: &[(VmId, ServiceName, ZoneName)]) -> Self {
        let mut router = Router::new(run_settings.route.clone());
        let mut states = BTreeMap::new();
        for (vm, service, zone) in backends {
            router.add(vm.clone(), service.clone(), zone.clone());
            let state = BackendState {
                service: service.clone(),
                is_up: true,
                reported_calls: 0,
                unreported_calls: 0,
            };
            states.insert(vm.clone(), state);
        }
        Self {
            routing: run_settings.routing,
            router,
            states,
            next_index: BTreeMap::new(),
        }
    }

    /// Returns the backend server for a call, or none if no available one is left to try.
    pub fn pick(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        prompt: Option<&Prompt>,
        last: Option<&VmId>,
        tried: &BTreeSet<VmId>,
    ) -> Option<Choice> {
        let is_candidate = |(vm, state): &(&VmId, &BackendState)| {
            state.service == *service && state.is_up && !tried.contains(*vm)
        };
        match self.routing {
            Routing::Router => {
                let query = RouteQuery {
                    service,
                    prompt,
                    last,
                    tried,
                };
                self.router.pick(now, &query)
            }
            Routing::LeastLoaded => {
                let call_count =
                    |state: &BackendState| i64::from(state.reported_calls) + state.unreported_calls;
                let best = self
                    .states
                    .iter()
                    .filter(is_candidate)
                    .min_by_key(|(_, state)| call_count(state));
                best.map(|(vm, _)| cache_unaware_choice(vm))
            }
            Routing::RoundRobin => {
                let vms: Vec<&VmId> = self
                    .states
                    .iter()
                    .filter(is_candidate)
                    .map(|(vm, _)| vm)
                    .collect();
                let next_index = self.next_index.entry(service.clone()).or_default();
                *next_index = next_index.wrapping_add(1);
                (!vms.is_empty()).then(|| cache_unaware_choice(vms[*next_index % vms.len()]))
            }
        }
    }

    /// Handles a call that was sent to a backend server.
    pub fn on_sent(&mut self, vm: &VmId, work_tokens: Tokens) {
        self.router.on_sent(vm, work_tokens);
        if let Some(state) = self.states.get_mut(vm) {
            state.unreported_calls += 1;
        }
    }

    /// Handles a call that ended at its backend server.
    pub fn on_ended(&mut self, vm: &VmId, work_tokens: Tokens, failed: bool) {
        self.router.on_ended(vm, work_tokens, failed);
        if let Some(state) = self.states.get_mut(vm) {
            state.unreported_calls -= 1;
        }
    }

    /// Handles the end of a turn, which left its prompt in the cache.
    pub fn on_prompt_cached(&mut self, vm: &VmId, prompt: &Prompt) {
        if self.routing == Routing::Router {
            self.router.on_prompt_cached(vm, prompt);
        }
    }

    /// Handles a load report.
    pub fn on_load(&mut self, now: TimeUs, vm: &VmId, load: BackendLoad) {
        self.router.on_load(now, vm, load);
        if let Some(state) = self.states.get_mut(vm) {
            state.reported_calls = load.engine.running + load.engine.waiting + load.waiting;
            state.unreported_calls = 0;
        }
    }

    /// Handles a batch of cache events; `first` is the number of its first event.
    pub fn on_cache(&mut self, vm: &VmId, first: u64, events: &[CacheEvent]) {
        if self.routing == Routing::Router {
            self.router.on_cache(vm, first, events);
        }
    }

    /// Sets whether a backend server is available.
    pub fn set_available(&mut self, vm: &VmId, is_up: bool) {
        self.router.set_leaving(vm, !is_up);
        if let Some(state) = self.states.get_mut(vm) {
            state.is_up = is_up;
        }
    }
}
