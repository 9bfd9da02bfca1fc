//! The orders of an engine: what it serves, and its check of fencing numbers.
//!
//! A load needs its weights from the weight store. The core has no way there: whoever drives it
//! asks [`Engine::take_weight_request`], fetches, and says [`Engine::complete_weight_fetch`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clementinepick::ids::{FencingNumber, ModelName, OrderId, VersionName};
use clementinepick::platform::{EngineOrder, EngineRole, EngineState, OrderBody};
use clementinepick::units::{SpanUs, TimeUs};
use thiserror::Error;

use crate::engine::{Engine, EngineSettings};

/// How long a change takes that needs no weights.
const CHANGE_US: SpanUs = SpanUs::from_ms(200);

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The engine has seen a higher fencing number.
    #[error("the fencing number is below {0}")]
    Fenced(FencingNumber),
    /// The process is down.
    #[error("the engine is down")]
    Down,
}

/// Weights that a load waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightRequest {
    /// The model or adapter.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Weights are to be fetched, not before this time.
    Fetch(TimeUs),
    /// The fetch is under way.
    Fetching,
    /// The order is carried out at this time.
    Ready(TimeUs),
}

#[derive(Debug, Clone)]
pub(crate) struct EngineOrders {
    models: BTreeMap<ModelName, VersionName>,
    adapters: BTreeMap<ModelName, (ModelName, VersionName)>,
    role: EngineRole,
    checks_fencing: bool,
    highest: Option<FencingNumber>,
    seen: BTreeSet<OrderId>,
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
            highest: None,
            seen: BTreeSet::new(),
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
            Progress::Fetch(_) | Progress::Fetching => None,
        }
    }

    /// Carries out the orders that are ready by `now`; true when what is served has changed.
    pub(crate) fn advance(&mut self, now: TimeUs) -> bool {
        let mut changed = false;
        while let Some(at) = self.next_event_at().filter(|at| *at <= now)
            && let Some(body) = self.queue.pop_front()
        {
            changed |= self.carry_out(body.order);
            self.begin(at);
        }
        changed
    }

    fn carry_out(&mut self, order: EngineOrder) -> bool {
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

    /// Begins the first order of the queue.
    fn begin(&mut self, now: TimeUs) {
        let Some(body) = self.queue.front() else {
            return;
        };
        self.progress = match body.order {
            EngineOrder::LoadModel { .. } | EngineOrder::LoadAdapter { .. } => Progress::Fetch(now),
            EngineOrder::Unload { .. } | EngineOrder::SetRole { .. } => {
                Progress::Ready(now.after(CHANGE_US))
            }
        };
    }

    fn accept(&mut self, now: TimeUs, body: OrderBody) -> Result<(), OrderError> {
        if self.checks_fencing {
            if let Some(highest) = self.highest.filter(|highest| body.fencing < *highest) {
                return Err(OrderError::Fenced(highest));
            }
            self.highest = Some(body.fencing);
        }
        if self.seen.insert(body.id) {
            self.queue.push_back(body);
            if self.queue.len() == 1 {
                self.begin(now);
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
            fencing: self.highest,
            busy: self.queue.front().map(|body| body.id),
        }
    }
}

impl Engine {
    /// Takes an order; the same order id is carried out once.
    ///
    /// # Errors
    ///
    /// [`OrderError::Fenced`] when the engine checks and has seen a higher number, and
    /// [`OrderError::Down`].
    pub fn order(&mut self, now: TimeUs, body: OrderBody) -> Result<EngineState, OrderError> {
        if !self.is_up() {
            return Err(OrderError::Down);
        }
        self.orders.accept(now, body)?;
        Ok(self.orders.state())
    }

    /// What the engine serves as of its last [`Engine::advance`].
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.orders.state()
    }

    /// The weights to fetch now; the fetch counts as begun.
    pub fn take_weight_request(&mut self, now: TimeUs) -> Option<WeightRequest> {
        match self.orders.progress {
            Progress::Fetch(at) if at <= now => {}
            Progress::Fetch(_) | Progress::Fetching | Progress::Ready(_) => return None,
        }
        let wanted = match &self.orders.queue.front()?.order {
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
        Some(wanted)
    }

    /// The weights come after a span, or the store said when to ask again.
    pub fn complete_weight_fetch(&mut self, now: TimeUs, answer: Result<SpanUs, SpanUs>) {
        if self.orders.progress == Progress::Fetching && !self.orders.queue.is_empty() {
            self.orders.progress = match answer {
                Ok(transfer) => Progress::Ready(now.after(transfer)),
                Err(retry_after) => Progress::Fetch(now.after(retry_after)),
            };
        }
    }
}
