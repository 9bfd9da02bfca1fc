//! How an entry of a run chooses backend servers: the two baselines, or the real router.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::ids::{ServiceName, VmId, ZoneName};
use clementinepick::message::BackendLoad;
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::Prompt;
use clementinepick::route::{Choice, RouteQuery, Router};
use clementinepick::units::{TimeUs, Tokens};

use crate::policy_run_settings::{Routing, RunSettings};

/// What a baseline knows of one backend server.
#[derive(Debug, Clone)]
struct Known {
    service: ServiceName,
    up: bool,
    reported: u32,
    /// Own calls sent less own calls ended since the report.
    since: i64,
}

/// A baseline's choice: it knows nothing of caches.
fn unknown(vm: &VmId) -> Choice {
    Choice {
        vm: vm.clone(),
        uncached_tokens: Tokens(0),
        candidate_count: 0,
    }
}

/// One entry.
#[derive(Debug)]
pub struct BackendSelector {
    routing: Routing,
    router: Router,
    known: BTreeMap<VmId, Known>,
    next: BTreeMap<ServiceName, usize>,
}

impl BackendSelector {
    /// An entry that knows all backend servers.
    #[must_use]
    pub fn new(run_settings: &RunSettings, backends: &[(VmId, ServiceName, ZoneName)]) -> Self {
        let mut router = Router::new(run_settings.route.clone());
        let mut known = BTreeMap::new();
        for (vm, service, zone) in backends {
            router.add(vm.clone(), service.clone(), zone.clone());
            let fresh = Known {
                service: service.clone(),
                up: true,
                reported: 0,
                since: 0,
            };
            known.insert(vm.clone(), fresh);
        }
        Self {
            routing: run_settings.routing,
            router,
            known,
            next: BTreeMap::new(),
        }
    }

    /// Chooses a backend server.
    pub fn pick(
        &mut self,
        now: TimeUs,
        service: &ServiceName,
        prompt: Option<&Prompt>,
        last: Option<&VmId>,
        tried: &BTreeSet<VmId>,
    ) -> Option<Choice> {
        let fit = |(vm, known): &(&VmId, &Known)| {
            known.service == *service && known.up && !tried.contains(*vm)
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
                let load = |known: &Known| i64::from(known.reported) + known.since;
                let best = self
                    .known
                    .iter()
                    .filter(fit)
                    .min_by_key(|(_, known)| load(known));
                best.map(|(vm, _)| unknown(vm))
            }
            Routing::RoundRobin => {
                let vms: Vec<&VmId> = self.known.iter().filter(fit).map(|(vm, _)| vm).collect();
                let next = self.next.entry(service.clone()).or_default();
                *next = next.wrapping_add(1);
                (!vms.is_empty()).then(|| unknown(vms[*next % vms.len()]))
            }
        }
    }

    /// A call was sent.
    pub fn on_sent(&mut self, vm: &VmId, work: Tokens) {
        self.router.on_sent(vm, work);
        if let Some(known) = self.known.get_mut(vm) {
            known.since += 1;
        }
    }

    /// A call has left its backend server.
    pub fn on_ended(&mut self, vm: &VmId, work: Tokens, failed: bool) {
        self.router.on_ended(vm, work, failed);
        if let Some(known) = self.known.get_mut(vm) {
            known.since -= 1;
        }
    }

    /// A turn has ended and left its prompt in the cache.
    pub fn on_prompt_cached(&mut self, vm: &VmId, prompt: &Prompt) {
        if self.routing == Routing::Router {
            self.router.on_prompt_cached(vm, prompt);
        }
    }

    /// A load report has come.
    pub fn on_load(&mut self, now: TimeUs, vm: &VmId, load: BackendLoad) {
        self.router.on_load(now, vm, load);
        if let Some(known) = self.known.get_mut(vm) {
            known.reported = load.engine.running + load.engine.waiting + load.waiting;
            known.since = 0;
        }
    }

    /// Cache events have come.
    pub fn on_cache(&mut self, vm: &VmId, first: u64, events: &[CacheEvent]) {
        if self.routing == Routing::Router {
            self.router.on_cache(vm, first, events);
        }
    }

    /// A backend server was found gone or back.
    pub fn set_available(&mut self, vm: &VmId, up: bool) {
        self.router.set_leaving(vm, !up);
        if let Some(known) = self.known.get_mut(vm) {
            known.up = up;
        }
    }
}
