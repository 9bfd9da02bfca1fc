//! Polls the platform's list of VMs.

use awc::Client;
use clementinepick::entry::EntryInput;
use clementinepick::event::{Event, EventKind};
use clementinepick::platform::Vm;

use crate::clients::{pooled_client, read_json, url};
use crate::control_messages::{ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::EntryRole;

/// The largest response with the list.
const MAX_LIST_BYTES: usize = 16_000_000;

/// Polls the list; reports each change to the control thread, and one event when reading begins to
/// fail.
pub(crate) async fn poll(role: EntryRole, control: ControlSender) {
    let client = pooled_client(role.platform_timeout_us);
    let mut last_vms = None;
    let mut is_failing = false;
    loop {
        match fetch_vms(&client, &role).await {
            Some(vms) => {
                is_failing = false;
                if last_vms.as_ref() != Some(&vms) {
                    last_vms = Some(vms.clone());
                    let input = ControlInput::Entry(EntryInput::Vms(vms));
                    control.send(input).await;
                }
            }
            None if !std::mem::replace(&mut is_failing, true) => {
                let event = Event::new(EventKind::VmListUnavailable);
                control.send(ControlInput::Event(event)).await;
            }
            None => {}
        }
        actix_rt::time::sleep(duration(role.vms_poll_us)).await;
    }
}

async fn fetch_vms(client: &Client, role: &EntryRole) -> Option<Vec<Vm>> {
    let sent = client.get(url(role.vms_address, "/v1/vms")).send().await;
    read_json(&mut sent.ok()?, MAX_LIST_BYTES).await
}
