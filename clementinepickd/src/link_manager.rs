//! Runs the thread of the links: accepts links from peers and keeps outgoing links connected.

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
use crate::tasks::{contain, run_to_end};

/// The backoff after the first failed attempt to connect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// How long links may take to send queued messages when the process ends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after `accept` failed, as it does when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The state that all links share.
#[derive(Clone)]
struct Shared {
    settings: Rc<LinkSettings>,
    own: Rc<Peer>,
    control: ControlSender,
    next_link: Rc<Cell<u64>>,
    open_links: Rc<Cell<usize>>,
}

/// Counts a link as open until dropped.
struct OpenLink(Rc<Cell<usize>>);

impl OpenLink {
    fn new(open_links: &Rc<Cell<usize>>) -> Self {
        open_links.set(open_links.get() + 1);
        Self(Rc::clone(open_links))
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Dialler {
    vm: Vm,
    /// Set to true to close the link and stop reconnecting.
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Runs until the control thread has ended and all links are closed.
pub(crate) async fn run(
    settings: LinkSettings,
    own: Peer,
    listener: StdListener,
    control: ControlSender,
    mut target_updates: mpsc::UnboundedReceiver<LinkTargets>,
) {
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    let shared = Shared {
        settings: Rc::new(settings),
        own: Rc::new(own),
        control,
        next_link: Rc::new(Cell::new(0)),
        open_links: Rc::new(Cell::new(0)),
    };
    let mut diallers: BTreeMap<VmId, Dialler> = BTreeMap::new();
    let mut accepted: Vec<JoinHandle<()>> = Vec::new();
    loop {
        tokio::select! {
            update = target_updates.recv() => match update {
                Some(LinkTargets(targets)) => update_diallers(&shared, &mut diallers, targets),
                None => break,
            },
            incoming = listener.accept() => match incoming {
                Ok((stream, _)) => {
                    accepted.retain(|task| !task.is_finished());
                    accepted.extend(accept_link(&shared, stream));
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
    drain(dialled.chain(accepted).collect()).await;
}

/// Starts and stops diallers so that there is one for each target.
fn update_diallers(
    shared: &Shared,
    diallers: &mut BTreeMap<VmId, Dialler>,
    mut targets: BTreeMap<VmId, Vm>,
) {
    diallers.retain(|id, dialler| {
        let is_kept = targets.get(id).is_some_and(|vm| {
            vm.link_address == dialler.vm.link_address && !dialler.task.is_finished()
        });
        if is_kept {
            targets.remove(id);
        } else {
            dialler.stop.send_replace(true);
        }
        is_kept
    });
    for (id, vm) in targets {
        let (stop, stop_signal) = watch::channel(false);
        let task = actix_rt::spawn(run_dialler(shared.clone(), vm.clone(), stop_signal));
        diallers.insert(id, Dialler { vm, stop, task });
    }
}

async fn run_dialler(shared: Shared, vm: Vm, mut stop_signal: watch::Receiver<bool>) {
    let dial = async || Box::pin(keep_connected(&shared, &vm, &mut stop_signal)).await;
    run_to_end(&shared.control, "dial_link", dial).await;
}

/// Keeps a link to `vm`, reconnecting with backoff, until it is stopped.
async fn keep_connected(shared: &Shared, vm: &Vm, stop_signal: &mut watch::Receiver<bool>) {
    let max_backoff = duration(shared.settings.max_backoff_us);
    let mut backoff = INITIAL_BACKOFF;
    let mut is_refused = false;
    while !*stop_signal.borrow() {
        let connecting = link::connect(&shared.settings, &shared.own, &vm.id, &vm.link_address);
        let authenticated = tokio::select! {
            authenticated = connecting => authenticated,
            _ = stop_signal.changed() => return,
        };
        match authenticated {
            Ok(authenticated) => {
                (backoff, is_refused) = (INITIAL_BACKOFF, false);
                run_link(shared, authenticated).await;
            }
            Err(err) => {
                // Repeated refusals by one peer are reported once, not at each attempt.
                if !std::mem::replace(&mut is_refused, err.is_refusal()) {
                    report_refusal(shared, vm.id.as_str(), &err).await;
                }
            }
        }
        tokio::select! {
            () = actix_rt::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))) => {}
            _ = stop_signal.changed() => return,
        }
        backoff = (backoff * 2).min(max_backoff);
    }
}

/// Accepts a link that a peer opens, unless the limit of links is reached.
fn accept_link(shared: &Shared, stream: TcpStream) -> Option<JoinHandle<()>> {
    if shared.open_links.get() >= shared.settings.max_links {
        return None;
    }
    let shared = shared.clone();
    let open = OpenLink::new(&shared.open_links);
    Some(actix_rt::spawn(async move {
        let _open = open;
        let serving = Box::pin(serve_link(&shared, stream));
        contain(&shared.control, "accept_link", serving).await;
    }))
}

async fn serve_link(shared: &Shared, stream: TcpStream) {
    let from = stream.peer_addr().map(|address| address.to_string());
    match link::accept(&shared.settings, &shared.own, stream).await {
        Ok(authenticated) => run_link(shared, authenticated).await,
        Err(err) => report_refusal(shared, &from.unwrap_or_default(), &err).await,
    }
}

async fn run_link(shared: &Shared, authenticated: link::AuthenticatedLink) {
    let link = LinkId(shared.next_link.get());
    shared.next_link.set(link.0 + 1);
    let vm = authenticated.peer.vm.clone();
    let end = link::run(&shared.settings, link, authenticated, &shared.control).await;
    if let LinkEnd::BadMessage(detail) = end {
        let event = Event::new(EventKind::LinkFault).with("peer", vm);
        let event = event.with("detail", detail);
        shared.control.send(ControlInput::Event(event)).await;
    }
}

async fn report_refusal(shared: &Shared, peer: &str, err: &HandshakeError) {
    if err.is_refusal() {
        let event = Event::new(EventKind::LinkRefused).with("peer", peer);
        let event = event.with("detail", err);
        shared.control.send(ControlInput::Event(event)).await;
    }
}

/// Waits until all links have sent their queued messages, at most [`DRAIN_TIMEOUT`].
///
/// The control thread has dropped the links, so they close once their queues are empty.
async fn drain(tasks: Vec<JoinHandle<()>>) {
    let all = async {
        for task in tasks {
            let _ = task.await;
        }
    };
    let _ = timeout(DRAIN_TIMEOUT, all).await;
}
