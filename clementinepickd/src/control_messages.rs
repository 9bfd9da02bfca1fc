//! Defines the messages between the control thread and the threads for HTTP, links and clients.

use std::collections::BTreeMap;

use clementinepick::call::{Fetch, Request};
use clementinepick::entry::EntryInput;
use clementinepick::error::ErrorKind;
use clementinepick::event::Event;
use clementinepick::ids::{ProgramId, RequestId, VmId};
use clementinepick::journal::JournalAction;
use clementinepick::message::{Message, Peer};
use clementinepick::platform::Vm;
use clementinepick::sidecar::{SidecarAction, SidecarInput};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::answer_queue::AnswerSender;
use crate::link_queue::QueueSender;

/// The most inputs that may be queued for the control thread before their senders wait.
pub(crate) const CONTROL_QUEUE_CAPACITY: usize = 16_384;

/// Identifies a link, uniquely within the lifetime of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// A caller's request.
    Request {
        request: Box<Request>,
        /// Receives the parts of its answer.
        answers: AnswerSender,
    },
    /// A caller's request for the answer of an earlier call.
    Fetch {
        fetch: Box<Fetch>,
        /// Receives the parts of the answer.
        answers: AnswerSender,
    },
    /// A request that the HTTP layer rejected; only counted.
    Refused(ErrorKind),
    /// A caller's request to end a program.
    EndProgram(ProgramId),
    /// Both ends of a link have authenticated each other.
    LinkUp {
        link: LinkId,
        peer: Peer,
        /// Sends messages to the peer; dropping it closes the link.
        queue: QueueSender,
    },
    /// A link has closed.
    LinkDown {
        link: LinkId,
        /// The VM of the peer.
        vm: VmId,
    },
    /// A message from a peer.
    LinkMessage {
        link: LinkId,
        /// The VM of the peer.
        vm: VmId,
        message: Message,
    },
    /// A response of the platform, for an entry.
    Entry(EntryInput),
    /// A response or report of the backend server, for a sidecar.
    Sidecar(SidecarInput),
    /// An event of another thread, to be logged.
    Event(Event),
    /// A request for a dump of the state.
    Dump(oneshot::Sender<Value>),
    /// A request to update the gauges.
    RefreshGauges(oneshot::Sender<()>),
}

/// The sending ends of the control thread's channels.
#[derive(Debug, Clone)]
pub(crate) struct ControlSender {
    /// Carries all inputs; senders wait while it is full.
    pub(crate) inputs: mpsc::Sender<ControlInput>,
    /// Carries the requests of callers that have disconnected; bounded by the number of requests.
    pub(crate) disconnects: mpsc::UnboundedSender<RequestId>,
}

impl ControlSender {
    /// Sends an input; returns false if the control thread has ended.
    pub(crate) async fn send(&self, input: ControlInput) -> bool {
        self.inputs.send(input).await.is_ok()
    }
}

/// The VMs to which the links thread must keep links open, and no others.
#[derive(Debug)]
pub(crate) struct LinkTargets(pub(crate) BTreeMap<VmId, Vm>);

/// A command to the clients thread.
#[derive(Debug)]
pub(crate) enum ClientCommand {
    /// A request to the log service.
    Log(JournalAction),
    /// A request to the backend server.
    Backend(SidecarAction),
}
