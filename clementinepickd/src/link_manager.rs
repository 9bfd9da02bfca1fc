//! The thread of the links: it takes links from others and keeps those that this process opens.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use clementinepick::event::{Event, EventKind};
use clementinepick::ids::VmId;
use clementinepick::message::Peer;
use clementinepick::platform::Vm;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use crate::control_messages::{ControlInput, ControlSender, LinkId, LinkTargets};
use crate::handshake::HandshakeError;
use crate::link::{self, LinkEnd, duration};
use crate::settings::LinkSettings;

/// The first wait before connecting again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// How long links may take to send what waits when the process ends.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// The wait after the system refused to accept, which it does when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What all links share.
#[derive(Clone)]
struct Shared {
    settings: Rc<LinkSettings>,
    own: Rc<Peer>,
    control: ControlSender,
    next_link: Rc<Cell<u64>>,
    open: Rc<Cell<usize>>,
}

struct Dialler {
    vm: Vm,
    /// Set to true when the link is no longer wanted.
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Runs until the control thread has ended and all links are closed.
pub(crate) async fn run(
    settings: LinkSettings,
    own: Peer,
    listener: StdListener,
    control: ControlSender,
    mut orders: mpsc::UnboundedReceiver<LinkTargets>,
) {
    let listener = TcpListener::from_std(listener).expect("a listener that does not block");
    let shared = Shared {
        settings: Rc::new(settings),
        own: Rc::new(own),
        control,
        next_link: Rc::new(Cell::new(0)),
        open: Rc::new(Cell::new(0)),
    };
    let mut diallers: BTreeMap<VmId, Dialler> = BTreeMap::new();
    let mut accepted: Vec<JoinHandle<()>> = Vec::new();
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(LinkTargets(wanted)) => set_diallers(&shared, &mut diallers, wanted),
                None => break,
            },
            incoming = listener.accept() => match incoming {
                Ok((stream, _)) => {
                    accepted.retain(|task| !task.is_finished());
                    accepted.extend(take(&shared, stream));
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    for dialler in diallers.values() {
        dialler.stop.send_replace(true);
    }
    let dialled = diallers.into_values().map(|dialler| dialler.task);
    finish(dialled.chain(accepted).collect()).await;
}

/// Starts and stops diallers so that there is one for each of `wanted`.
fn set_diallers(
    shared: &Shared,
    diallers: &mut BTreeMap<VmId, Dialler>,
    mut wanted: BTreeMap<VmId, Vm>,
) {
    diallers.retain(|id, dialler| {
        let kept = wanted.get(id).is_some_and(|vm| {
            vm.link_address == dialler.vm.link_address && !dialler.task.is_finished()
        });
        if kept {
            wanted.remove(id);
        } else {
            dialler.stop.send_replace(true);
        }
        kept
    });
    for (id, vm) in wanted {
        let (stop, stopped) = watch::channel(false);
        let task = actix_rt::spawn(dial(shared.clone(), vm.clone(), stopped));
        diallers.insert(id, Dialler { vm, stop, task });
    }
}

/// Keeps a link to `vm` until it is no longer wanted.
async fn dial(shared: Shared, vm: Vm, mut stopped: watch::Receiver<bool>) {
    let longest = duration(shared.settings.max_backoff_us);
    let mut backoff = FIRST_BACKOFF;
    let mut refused = false;
    while !*stopped.borrow() {
        let connecting = link::connect(&shared.settings, &shared.own, &vm.id, &vm.link_address);
        let proved = tokio::select! {
            proved = connecting => proved,
            _ = stopped.changed() => return,
        };
        match proved {
            Ok(proved) => {
                (backoff, refused) = (FIRST_BACKOFF, false);
                carry(&shared, proved).await;
            }
            Err(err) => {
                // One line for a peer that goes on refusing, not one an attempt.
                if !std::mem::replace(&mut refused, err.is_refusal()) {
                    report(&shared, vm.id.as_str(), &err).await;
                }
            }
        }
        tokio::select! {
            () = actix_rt::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))) => {}
            _ = stopped.changed() => return,
        }
        backoff = (backoff * 2).min(longest);
    }
}

/// Takes a link that another process opens, unless there are too many.
fn take(shared: &Shared, stream: TcpStream) -> Option<JoinHandle<()>> {
    if shared.open.get() >= shared.settings.max_links {
        return None;
    }
    let shared = shared.clone();
    shared.open.set(shared.open.get() + 1);
    Some(actix_rt::spawn(async move {
        let from = stream.peer_addr().map(|address| address.to_string());
        match link::accept(&shared.settings, &shared.own, stream).await {
            Ok(proved) => carry(&shared, proved).await,
            Err(err) => report(&shared, &from.unwrap_or_default(), &err).await,
        }
        shared.open.set(shared.open.get() - 1);
    }))
}

async fn carry(shared: &Shared, proved: link::ProvedLink) {
    let link = LinkId(shared.next_link.get());
    shared.next_link.set(link.0 + 1);
    let vm = proved.peer.vm.clone();
    let end = link::run(&shared.settings, link, proved, &shared.control).await;
    if let LinkEnd::BadMessage(detail) = end {
        let event = Event::new(EventKind::LinkFault).with("peer", vm);
        let event = event.with("detail", detail);
        shared.control.send(ControlInput::Event(event)).await;
    }
}

async fn report(shared: &Shared, peer: &str, err: &HandshakeError) {
    if err.is_refusal() {
        let event = Event::new(EventKind::LinkRefused).with("peer", peer);
        let event = event.with("detail", err);
        shared.control.send(ControlInput::Event(event)).await;
    }
}

/// Waits until all links have sent what waits; the control thread has let go of them.
async fn finish(tasks: Vec<JoinHandle<()>>) {
    let all = async {
        for task in tasks {
            let _ = task.await;
        }
    };
    let _ = timeout(DRAIN_LIMIT, all).await;
}
