//! Checks engine orders at the sidecar, passes them to the engine and detects their outcome.
//!
//! Only the sidecar can reach its engine, so its check of fencing numbers also protects engines
//! that ignore them. One order is executed at a time. An order that interrupts calls waits until
//! the calls on the engine have ended.

use serde_json::{Value, json};

use crate::event::{Event, EventKind};
use crate::ids::{FencingNumber, Incarnation, OrderId, VmId};
use crate::message::{Message, OrderOutcome};
use crate::placement::interrupts_calls;
use crate::platform::{EngineOrder, EngineState, OrderBody};
use crate::units::{SpanUs, TimeUs};

/// Time within which the engine's state must show an order that was passed to it.
const START_TIMEOUT: SpanUs = SpanUs::from_s(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for the running and waiting calls to end.
    Draining,
    /// Passed to the engine, whose state does not show it yet.
    Passed { at_us: TimeUs },
    /// The engine is executing it.
    Begun,
}

#[derive(Debug, Clone)]
struct CurrentOrder {
    from: VmId,
    body: OrderBody,
    interrupts: bool,
    stage: Stage,
}

/// State of the engine and the order in progress, if any.
#[derive(Debug, Clone)]
pub(crate) struct OrderSlot {
    incarnation: Incarnation,
    highest_fencing: Option<FencingNumber>,
    /// Absent until the engine has reported its state to this incarnation of the sidecar.
    engine: Option<EngineState>,
    current: Option<CurrentOrder>,
}

/// Action requested by an [`OrderSlot`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OrderAction {
    /// Send a message to one entry.
    Send(VmId, Message),
    /// Send the engine's state to all entries.
    Broadcast(EngineState),
    /// Pass the order to the engine.
    Pass(VmId, OrderBody),
    /// Log an event.
    Log(Event),
}

impl OrderSlot {
    pub(crate) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            highest_fencing: None,
            engine: None,
            current: None,
        }
    }

    pub(crate) const fn engine(&self) -> Option<&EngineState> {
        self.engine.as_ref()
    }

    /// Returns whether an order in progress keeps new calls from the engine.
    pub(crate) fn blocks_new_work(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.interrupts)
    }

    /// Records the fencing number of a decider's claim that an entry has read in the log.
    pub(crate) fn on_fencing_number(&mut self, number: Option<FencingNumber>) {
        self.highest_fencing = self.highest_fencing.max(number);
    }

    /// Accepts or refuses an order.
    pub(crate) fn on_order(
        &mut self,
        from: VmId,
        target: Incarnation,
        body: OrderBody,
        out: &mut Vec<OrderAction>,
    ) {
        if self.current.as_ref().is_some_and(|c| c.body.id == body.id) {
            return;
        }
        match self.check(target, &body) {
            Ok(interrupts) => {
                self.highest_fencing = Some(body.fencing);
                self.current = Some(CurrentOrder {
                    from,
                    body,
                    interrupts,
                    stage: Stage::Draining,
                });
            }
            Err((kind, detail)) => refuse(from, body.id, kind, detail, out),
        }
    }

    fn check(
        &self,
        target: Incarnation,
        body: &OrderBody,
    ) -> Result<bool, (EventKind, &'static str)> {
        // A decider that was deposed during a pause may send an order late, which would undo
        // newer orders. Its fencing number is lower than that of the claim that deposed it.
        if self
            .highest_fencing
            .is_some_and(|known| body.fencing < known)
        {
            return Err((
                EventKind::OrderFenced,
                "a decider with a higher fencing number is known",
            ));
        }
        // A restart of this process loses the fencing numbers, and some engines store none. But a
        // decider names an incarnation only after reading the log since the link to it came up, so
        // a deposed decider would have learned of its successor by then.
        if target != self.incarnation {
            return Err((
                EventKind::OrderFenced,
                "the order is for an earlier incarnation of this sidecar",
            ));
        }
        let Some(engine) = &self.engine else {
            return Err((
                EventKind::OrderFailed,
                "the engine has not reported its state yet",
            ));
        };
        if self.current.is_some() || engine.busy.is_some() {
            return Err((EventKind::OrderFailed, "another order is in progress"));
        }
        Ok(interrupts_calls(&body.order, engine))
    }

    /// Handles a state report of the engine or its reply to the order.
    pub(crate) fn on_engine(
        &mut self,
        now: TimeUs,
        state: EngineState,
        refused: Option<String>,
        out: &mut Vec<OrderAction>,
    ) {
        self.highest_fencing = self.highest_fencing.max(state.fencing);
        if self.engine.as_ref() != Some(&state) {
            out.push(OrderAction::Broadcast(state.clone()));
        }
        if let Some(current) = &mut self.current
            && let Some(outcome) = current.advance(now, &state, refused)
        {
            let (id, from) = (current.body.id, current.from.clone());
            if let OrderOutcome::Failed(detail) = &outcome {
                let event = Event::new(EventKind::OrderFailed).with("order", id);
                out.push(OrderAction::Log(event.with("detail", detail)));
            }
            out.push(OrderAction::Send(from, Message::OrderReply { id, outcome }));
            self.current = None;
        }
        self.engine = Some(state);
    }

    /// Passes the order to the engine once no call would be interrupted.
    pub(crate) fn poll(&mut self, now: TimeUs, is_idle: bool, out: &mut Vec<OrderAction>) {
        let is_draining = |c: &&mut CurrentOrder| c.stage == Stage::Draining;
        let Some(current) = self.current.as_mut().filter(is_draining) else {
            return;
        };
        let (from, body) = (current.from.clone(), current.body.clone());
        // The decider may have been deposed while the calls ended.
        if self
            .highest_fencing
            .is_some_and(|known| body.fencing < known)
        {
            self.current = None;
            refuse(
                from,
                body.id,
                EventKind::OrderFenced,
                "a decider with a higher fencing number is known",
                out,
            );
        } else if is_idle || !current.interrupts {
            current.stage = Stage::Passed { at_us: now };
            let event = Event::new(EventKind::OrderPassed).with("order", body.id);
            out.push(OrderAction::Log(event));
            out.push(OrderAction::Pass(from, body));
        }
    }

    /// Returns the state as JSON for operators.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "engine": self.engine,
            "highest_fencing": self.highest_fencing,
            "order": self.current.as_ref().map(|c| &c.body),
            "stage": self.current.as_ref().map(|c| format!("{:?}", c.stage)),
        })
    }
}

fn refuse(
    to: VmId,
    id: OrderId,
    kind: EventKind,
    detail: &'static str,
    out: &mut Vec<OrderAction>,
) {
    let event = Event::new(kind).with("order", id);
    out.push(OrderAction::Log(event.with("detail", detail)));
    let outcome = OrderOutcome::Refused(detail.to_owned());
    out.push(OrderAction::Send(to, Message::OrderReply { id, outcome }));
}

impl CurrentOrder {
    /// Updates the stage from the engine's state, and returns the outcome once it is known.
    fn advance(
        &mut self,
        now: TimeUs,
        state: &EngineState,
        refused: Option<String>,
    ) -> Option<OrderOutcome> {
        let is_executing = state.busy == Some(self.body.id);
        match self.stage {
            Stage::Draining => None,
            Stage::Passed { .. } | Stage::Begun if is_executing => {
                self.stage = Stage::Begun;
                None
            }
            Stage::Passed { .. } | Stage::Begun if has_taken_effect(&self.body.order, state) => {
                Some(OrderOutcome::Done)
            }
            Stage::Begun => Some(OrderOutcome::Failed(
                "the engine ended the order, but its state does not show the effect".to_owned(),
            )),
            Stage::Passed { at_us } => refused
                .or_else(|| {
                    let timed_out = now.since(at_us) >= START_TIMEOUT;
                    timed_out
                        .then(|| "the engine's state did not show the order in time".to_owned())
                })
                .map(OrderOutcome::Failed),
        }
    }
}

fn has_taken_effect(order: &EngineOrder, state: &EngineState) -> bool {
    match order {
        EngineOrder::LoadModel { model, version } => state.models.get(model) == Some(version),
        EngineOrder::LoadAdapter {
            adapter, version, ..
        } => state.adapters.get(adapter) == Some(version),
        EngineOrder::Unload { model } => !state.models.contains_key(model),
        EngineOrder::SetRole { role } => state.role == *role,
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::platform::EngineRole;

    // Another entry becomes decider while an order waits for calls to end. Passing the order to the
    // engine would undo the new decider's orders.
    #[test]
    fn an_order_is_dropped_if_its_decider_is_deposed_while_calls_end() {
        let mut slot = OrderSlot::new(Incarnation(1));
        let (model, version): (_, _) = ("m".parse(), "v1".parse());
        let state = EngineState {
            models: BTreeMap::from([(model.expect("valid name"), version.expect("valid name"))]),
            adapters: BTreeMap::new(),
            role: EngineRole::Mixed,
            fencing: None,
            busy: None,
        };
        let mut out = Vec::new();
        slot.on_engine(TimeUs(0), state, None, &mut out);
        let body = OrderBody {
            id: OrderId(1),
            fencing: FencingNumber(5),
            order: EngineOrder::SetRole {
                role: EngineRole::Decode,
            },
        };
        let from: VmId = "entry-a".parse().expect("valid name");
        slot.on_order(from, Incarnation(1), body, &mut out);
        slot.poll(TimeUs(1), false, &mut out);
        assert!(slot.blocks_new_work());
        slot.on_fencing_number(Some(FencingNumber(9)));
        slot.poll(TimeUs(2), true, &mut out);
        assert!(!out.iter().any(|a| matches!(a, OrderAction::Pass(..))));
        assert!(!slot.blocks_new_work());
    }
}
