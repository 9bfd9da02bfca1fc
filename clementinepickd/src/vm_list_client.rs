//! Reads the platform's list of VMs again and again.

use awc::Client;
use clementinepick::entry::EntryInput;
use clementinepick::event::{Event, EventKind};
use clementinepick::platform::Vm;

use crate::clients::{pooled, read_json, url};
use crate::control_messages::{ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::EntryRole;

/// The largest list.
const MAX_LIST_BYTES: usize = 16_000_000;

/// Hands in the list whenever it has changed, and one event when it can't be read any more.
pub(crate) async fn poll(role: EntryRole, control: ControlSender) {
    let client = pooled(role.platform_timeout_us);
    let mut known = None;
    let mut failing = false;
    loop {
        match read(&client, &role).await {
            Some(vms) => {
                failing = false;
                if known.as_ref() != Some(&vms) {
                    known = Some(vms.clone());
                    let input = ControlInput::Entry(EntryInput::Vms(vms));
                    control.send(input).await;
                }
            }
            None if !std::mem::replace(&mut failing, true) => {
                let event = Event::new(EventKind::VmListUnavailable);
                control.send(ControlInput::Event(event)).await;
            }
            None => {}
        }
        actix_rt::time::sleep(duration(role.vms_poll_us)).await;
    }
}

async fn read(client: &Client, role: &EntryRole) -> Option<Vec<Vm>> {
    let sent = client.get(url(role.vms_address, "/v1/vms")).send().await;
    read_json(&mut sent.ok()?, MAX_LIST_BYTES).await
}
