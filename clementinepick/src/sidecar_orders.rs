//! Engine orders at the sidecar: which are passed on, and when one is done.
//!
//! Only the sidecar reaches its engine, so that its check of fencing numbers holds for engines that
//! ignore them. One order is carried out at a time; what interrupts the engine waits until the
//! calls there have ended.

use serde_json::{Value, json};

use crate::event::{Event, EventKind};
use crate::ids::{FencingNumber, Incarnation, OrderId, VmId};
use crate::message::{Message, OrderOutcome};
use crate::placement::interrupts;
use crate::platform::{EngineOrder, EngineState, OrderBody};
use crate::units::{SpanUs, TimeUs};

/// How long the engine may take to show that it has an order.
const ANSWER_LIMIT: SpanUs = SpanUs::from_s(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Calls that run or wait here come first.
    Draining,
    /// Passed to the engine, which has not yet shown that it has it.
    Passed { at_us: TimeUs },
    /// The engine is at it.
    Begun,
}

#[derive(Debug, Clone)]
struct Current {
    from: VmId,
    body: OrderBody,
    interrupts: bool,
    stage: Stage,
}

/// The engine's state and the one order that is being carried out.
#[derive(Debug, Clone)]
pub(crate) struct OrderSlot {
    incarnation: Incarnation,
    highest: Option<FencingNumber>,
    /// Absent until the engine has told it to this life of the sidecar.
    engine: Option<EngineState>,
    current: Option<Current>,
}

/// What to do about the orders.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum SlotAction {
    /// Tell one entry.
    Tell(VmId, Message),
    /// Tell all entries what the engine serves.
    TellAll(EngineState),
    /// Pass the order to the engine.
    Pass(VmId, OrderBody),
    /// Log an event.
    Log(Event),
}

impl OrderSlot {
    pub(crate) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            highest: None,
            engine: None,
            current: None,
        }
    }

    pub(crate) const fn engine(&self) -> Option<&EngineState> {
        self.engine.as_ref()
    }

    /// Whether the engine must not get new calls.
    pub(crate) fn blocks_new_work(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.interrupts)
    }

    /// Takes note of a decider's claim, as an entry has read it in the log.
    pub(crate) fn on_decider(&mut self, number: Option<FencingNumber>) {
        self.highest = self.highest.max(number);
    }

    /// Takes an order.
    pub(crate) fn on_order(
        &mut self,
        from: VmId,
        target: Incarnation,
        body: OrderBody,
        out: &mut Vec<SlotAction>,
    ) {
        if self.current.as_ref().is_some_and(|c| c.body.id == body.id) {
            return;
        }
        match self.check(target, &body) {
            Ok(interrupts) => {
                self.highest = Some(body.fencing);
                self.current = Some(Current {
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
        // A decider that was deposed while it was paused sends its order late. Its number is lower
        // than that of the claim which deposed it, and passing it on would undo the newer orders.
        if self.highest.is_some_and(|known| body.fencing < known) {
            return Err((EventKind::OrderFenced, "a newer decider is known"));
        }
        // This process may have restarted since and forgotten the numbers, and some engines keep
        // none. A decider names a life only after it has read the log since the link to that life
        // came up: a deposed one would have read of its successor.
        if target != self.incarnation {
            return Err((EventKind::OrderFenced, "for a former life of this sidecar"));
        }
        let Some(engine) = &self.engine else {
            return Err((
                EventKind::OrderFailed,
                "the engine's state is not known yet",
            ));
        };
        if self.current.is_some() || engine.busy.is_some() {
            return Err((EventKind::OrderFailed, "another order is being carried out"));
        }
        Ok(interrupts(&body.order, engine))
    }

    /// Takes what the engine says of itself, or what it answered to the order.
    pub(crate) fn on_engine(
        &mut self,
        now: TimeUs,
        state: EngineState,
        refused: Option<String>,
        out: &mut Vec<SlotAction>,
    ) {
        self.highest = self.highest.max(state.fencing);
        if self.engine.as_ref() != Some(&state) {
            out.push(SlotAction::TellAll(state.clone()));
        }
        if let Some(current) = &mut self.current
            && let Some(outcome) = current.advance(now, &state, refused)
        {
            let (id, from) = (current.body.id, current.from.clone());
            if let OrderOutcome::Failed(detail) = &outcome {
                let event = Event::new(EventKind::OrderFailed).with("order", id);
                out.push(SlotAction::Log(event.with("detail", detail)));
            }
            out.push(SlotAction::Tell(from, Message::OrderReply { id, outcome }));
            self.current = None;
        }
        self.engine = Some(state);
    }

    /// Passes the order on once nothing runs that it would interrupt.
    pub(crate) fn poll(&mut self, now: TimeUs, is_idle: bool, out: &mut Vec<SlotAction>) {
        let waits = |c: &&mut Current| c.stage == Stage::Draining;
        let Some(current) = self.current.as_mut().filter(waits) else {
            return;
        };
        let (from, body) = (current.from.clone(), current.body.clone());
        // Its decider may have been deposed while the last calls ran.
        if self.highest.is_some_and(|known| body.fencing < known) {
            self.current = None;
            refuse(
                from,
                body.id,
                EventKind::OrderFenced,
                "a newer decider is known",
                out,
            );
        } else if is_idle || !current.interrupts {
            current.stage = Stage::Passed { at_us: now };
            let event = Event::new(EventKind::OrderPassed).with("order", body.id);
            out.push(SlotAction::Log(event));
            out.push(SlotAction::Pass(from, body));
        }
    }

    /// The state, for operators.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "engine": self.engine,
            "highest_fencing": self.highest,
            "order": self.current.as_ref().map(|c| &c.body),
            "stage": self.current.as_ref().map(|c| format!("{:?}", c.stage)),
        })
    }
}

fn refuse(to: VmId, id: OrderId, kind: EventKind, detail: &'static str, out: &mut Vec<SlotAction>) {
    let event = Event::new(kind).with("order", id);
    out.push(SlotAction::Log(event.with("detail", detail)));
    let outcome = OrderOutcome::Refused(detail.to_owned());
    out.push(SlotAction::Tell(to, Message::OrderReply { id, outcome }));
}

impl Current {
    /// The outcome, once the engine's state shows it.
    fn advance(
        &mut self,
        now: TimeUs,
        state: &EngineState,
        refused: Option<String>,
    ) -> Option<OrderOutcome> {
        let at_it = state.busy == Some(self.body.id);
        match self.stage {
            Stage::Draining => None,
            Stage::Passed { .. } | Stage::Begun if at_it => {
                self.stage = Stage::Begun;
                None
            }
            Stage::Passed { .. } | Stage::Begun if has_taken_effect(&self.body.order, state) => {
                Some(OrderOutcome::Done)
            }
            Stage::Begun => Some(OrderOutcome::Failed(
                "the engine has ended the order without effect".to_owned(),
            )),
            Stage::Passed { at_us } => refused
                .or_else(|| {
                    let late = now.since(at_us) >= ANSWER_LIMIT;
                    late.then(|| "the engine does not show the order".to_owned())
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

    // A decider orders a load; the engine's last calls take a while. Meanwhile another entry claims
    // the decision, as a heartbeat tells. The order is dropped, or it would undo the newer ones.
    #[test]
    fn an_order_whose_decider_is_deposed_while_calls_end_is_dropped() {
        let mut slot = OrderSlot::new(Incarnation(1));
        let (model, version): (_, _) = ("m".parse(), "v1".parse());
        let state = EngineState {
            models: BTreeMap::from([(model.expect("a name"), version.expect("a name"))]),
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
        let from: VmId = "entry-a".parse().expect("a name");
        slot.on_order(from, Incarnation(1), body, &mut out);
        slot.poll(TimeUs(1), false, &mut out);
        assert!(slot.blocks_new_work());
        slot.on_decider(Some(FencingNumber(9)));
        slot.poll(TimeUs(2), true, &mut out);
        assert!(!out.iter().any(|a| matches!(a, SlotAction::Pass(..))));
        assert!(!slot.blocks_new_work());
    }
}
