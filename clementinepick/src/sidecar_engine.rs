//! What a sidecar makes of engine orders and of the engine's word on what it serves.

use crate::ids::{Incarnation, VmId};
use crate::message::Message;
use crate::platform::{EngineState, OrderBody};
use crate::sidecar::{Sidecar, SidecarAction, send};
use crate::sidecar_orders::SlotAction;
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
        self.carry_out(actions, out);
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
        self.carry_out(actions, out);
    }

    /// Passes an order on when its time has come, and tells at once when new work must stay away.
    pub(crate) fn poll_orders(&mut self, now: TimeUs, out: &mut Vec<SidecarAction>) {
        let is_idle = self.gate.waiting() == 0 && self.gate.running() == 0;
        let mut actions = Vec::new();
        self.orders.poll(now, is_idle, &mut actions);
        self.carry_out(actions, out);
        let blocked = self.orders.blocks_new_work();
        if std::mem::replace(&mut self.told_blocked, blocked) != blocked {
            for vm in self.entries.keys() {
                out.push(send(vm, Message::Heartbeat(self.heartbeat_to(now, vm))));
            }
        }
    }

    fn carry_out(&self, actions: Vec<SlotAction>, out: &mut Vec<SidecarAction>) {
        for action in actions {
            match action {
                SlotAction::Tell(to, message) => out.push(send(&to, message)),
                SlotAction::TellAll(state) => {
                    let vms = self.entries.keys();
                    out.extend(vms.map(|vm| send(vm, Message::Engine(state.clone()))));
                }
                SlotAction::Pass(from, order) => out.push(SidecarAction::Order { from, order }),
                SlotAction::Log(event) => out.push(SidecarAction::Log(event)),
            }
        }
    }
}
