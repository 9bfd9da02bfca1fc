//! Executes orders that change what a simulated engine serves, and checks their fencing numbers.
//!
//! Loading a model needs its weights from the weight store. The engine does no I/O: its driver calls
//! [`Engine::take_weight_request`], fetches, and reports by [`Engine::complete_weight_fetch`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clementinepick::ids::{FencingNumber, ModelName, OrderId, VersionName};
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, OrderBody};
use clementinepick::units::{SpanUs, TimeUs};
use thiserror::Error;

use crate::engine::{Engine, EngineSettings};

/// Duration of an order that needs no weights.
const CHANGE_US: SpanUs = SpanUs::from_ms(200);

/// Reason why an order is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The engine has accepted a higher fencing number.
    #[error("fencing number is below {0}")]
    Fenced(FencingNumber),
    /// The engine process is down.
    #[error("engine is down")]
    Down,
}

/// A request for the weights that an order needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightRequest {
    /// Model or adapter.
    pub model: ModelName,
    /// Version of the model or adapter.
    pub version: VersionName,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The weights must be fetched, at this time at the earliest.
    FetchPending(TimeUs),
    /// The fetch is in progress.
    Fetching,
    /// The order takes effect at this time.
    Ready(TimeUs),
}

#[derive(Debug, Clone)]
pub(crate) struct EngineOrders {
    models: BTreeMap<ModelName, VersionName>,
    adapters: BTreeMap<ModelName, (ModelName, VersionName)>,
    role: EngineRole,
    checks_fencing: bool,
    highest_fencing: Option<FencingNumber>,
    accepted_ids: BTreeSet<OrderId>,
    queue: VecDeque<OrderBody>,
    progress: Progress,
}

impl EngineOrders {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            models: settings.models.clone(),
            adapters: BTreeMap::new(),
            role: settings.role,
            checks_fencing: settings.checks_fencing,
            highest_fencing: None,
            accepted_ids: BTreeSet::new(),
            queue: VecDeque::new(),
            progress: Progress::Fetching,
        }
    }

    pub(crate) fn serves(&self, model: &ModelName) -> bool {
        self.models.is_empty()
            || self.models.contains_key(model)
            || self.adapters.contains_key(model)
    }

    pub(crate) fn next_event_at(&self) -> Option<TimeUs> {
        match self.progress {
            _ if self.queue.is_empty() => None,
            Progress::Ready(at) => Some(at),
            Progress::FetchPending(_) | Progress::Fetching => None,
        }
    }

    /// Executes the orders that are ready by `now`; returns true if the served models changed.
    pub(crate) fn advance(&mut self, now: TimeUs) -> bool {
        let mut changed = false;
        while let Some(at) = self.next_event_at().filter(|at| *at <= now)
            && let Some(body) = self.queue.pop_front()
        {
            changed |= self.execute(body.order);
            self.start_next(at);
        }
        changed
    }

    fn execute(&mut self, order: EngineOrder) -> bool {
        match order {
            EngineOrder::LoadModel { model, version } => {
                self.models.insert(model, version);
                true
            }
            EngineOrder::LoadAdapter {
                model,
                adapter,
                version,
            } => {
                self.adapters.insert(adapter, (model, version));
                true
            }
            EngineOrder::Unload { model } => {
                self.models.remove(&model);
                self.adapters.retain(|_, (of, _)| *of != model);
                true
            }
            EngineOrder::SetRole { role } => {
                self.role = role;
                false
            }
        }
    }

    /// Starts the first order of the queue.
    fn start_next(&mut self, now: TimeUs) {
        let Some(body) = self.queue.front() else {
            return;
        };
        self.progress = match body.order {
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => {
                Progress::FetchPending(now)
            }
            EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => {
                Progress::Ready(now.after(CHANGE_US))
            }
        };
    }

    fn accept(&mut self, now: TimeUs, body: OrderBody) -> Result<(), OrderError> {
        if self.checks_fencing {
            if let Some(highest) = self
                .highest_fencing
                .filter(|highest| body.fencing < *highest)
            {
                return Err(OrderError::Fenced(highest));
            }
            self.highest_fencing = Some(body.fencing);
        }
        if self.accepted_ids.insert(body.id) {
            self.queue.push_back(body);
            if self.queue.len() == 1 {
                self.start_next(now);
            }
        }
        Ok(())
    }

    fn state(&self) -> EngineState {
        let adapters = self.adapters.iter();
        EngineState {
            models: self.models.clone(),
            adapters: adapters
                .map(|(name, (_, version))| (name.clone(), version.clone()))
                .collect(),
            role: self.role,
            fencing: self.highest_fencing,
            busy: self.queue.front().map(|body| body.id),
        }
    }
}

impl Engine {
    /// Accepts an order; an order id is executed only once.
    ///
    /// # Errors
    ///
    /// [`OrderError::Fenced`] if fencing is checked and a higher number was accepted, or
    /// [`OrderError::Down`].
    pub fn order(&mut self, now: TimeUs, body: OrderBody) -> Result<EngineState, OrderError> {
        if !self.is_up() {
            return Err(OrderError::Down);
        }
        self.orders.accept(now, body)?;
        Ok(self.orders.state())
    }

    /// Returns what the engine serves as of its last [`Engine::advance`].
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.orders.state()
    }

    /// Returns the weights to fetch now, if any, and marks their fetch as in progress.
    pub fn take_weight_request(&mut self, now: TimeUs) -> Option<WeightRequest> {
        match self.orders.progress {
            Progress::FetchPending(at) if at <= now => {}
            Progress::FetchPending(_) | Progress::Fetching | Progress::Ready(_) => return None,
        }
        let request = match &self.orders.queue.front()?.order {
            EngineOrder::LoadModel { model, version }
            | EngineOrder::LoadAdapter {
                adapter: model,
                version,
                ..
            } => WeightRequest {
                model: model.clone(),
                version: version.clone(),
            },
            EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => return None,
        };
        self.orders.progress = Progress::Fetching;
        Some(request)
    }

    /// Records the result of a fetch: the remaining transfer time, or the time before a retry.
    pub fn complete_weight_fetch(&mut self, now: TimeUs, result: Result<SpanUs, SpanUs>) {
        if self.orders.progress == Progress::Fetching && !self.orders.queue.is_empty() {
            self.orders.progress = match result {
                Ok(transfer) => Progress::Ready(now.after(transfer)),
                Err(retry_after) => Progress::FetchPending(now.after(retry_after)),
            };
        }
    }
}
