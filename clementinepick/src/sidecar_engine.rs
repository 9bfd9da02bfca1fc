//! Passes engine orders and engine state between entries, the order slot and the engine.

use crate::ids::{Incarnation, VmId};
use crate::message::Message;
use crate::platform::{EngineState, OrderBody};
use crate::sidecar::{Sidecar, SidecarAction, send};
use crate::sidecar_orders::OrderAction;
use crate::units::TimeUs;

impl Sidecar {
    pub(crate) fn on_order(
        &mut self,
        from: VmId,
        target: Incarnation,
        order: OrderBody,
        out: &mut Vec<SidecarAction>,
    ) {
        let mut actions = Vec::new();
        self.orders.on_order(from, target, order, &mut actions);
        self.execute(actions, out);
    }

    pub(crate) fn on_engine(
        &mut self,
        now: TimeUs,
        state: EngineState,
        refused: Option<String>,
        out: &mut Vec<SidecarAction>,
    ) {
        let mut actions = Vec::new();
        self.orders.on_engine(now, state, refused, &mut actions);
        self.execute(actions, out);
    }

    /// Passes a pending order to the engine if possible, and announces at once when new calls
    /// become blocked or unblocked.
    pub(crate) fn poll_orders(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let is_idle = self.admission.waiting() == 0 && self.admission.running() == 0;
        let mut actions = Vec::new();
        self.orders.poll(now, is_idle, &mut actions);
        self.execute(actions, out);
        let blocked = self.orders.blocks_new_work();
        if std::mem::replace(&mut self.announced_blocked, blocked) != blocked {
            for vm in self.entries.keys() {
                out.push(send(vm, Message::Heartbeat(self.heartbeat_to(now, vm))));
            }
        }
    }

    fn execute(&self, actions: Vec<OrderAction>, out: &mut Vec<SidecarAction>) {
        for action in actions {
            match action {
                OrderAction::Send(to, message) => out.push(send(&to, message)),
                OrderAction::Broadcast(state) => {
                    let vms = self.entries.keys();
                    out.extend(vms.map(|vm| send(vm, Message::Engine(state.clone()))));
                }
                OrderAction::Pass(from, order) => out.push(SidecarAction::Order { from, order }),
                OrderAction::Log(event) => out.push(SidecarAction::Log(event)),
            }
        }
    }
}
