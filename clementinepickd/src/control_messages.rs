//! The typed messages between the control thread and the threads that carry traffic.

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

/// The most inputs that wait for the control thread before their senders wait.
pub(crate) const CONTROL_QUEUE_CAPACITY: usize = 16_384;

/// One link, among all that this process ever had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// What the control thread reacts to.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// A caller's request.
    Request {
        /// The request, parsed.
        request: Box<Request>,
        /// Where the parts of its answer go.
        answers: AnswerSender,
    },
    /// A caller asks for the answer of an earlier call.
    Fetch {
        /// What it asks for.
        fetch: Box<Fetch>,
        /// Where the parts of the answer go.
        answers: AnswerSender,
    },
    /// A request that the parser refused.
    Refused(ErrorKind),
    /// A caller ends a program.
    EndProgram(ProgramId),
    /// Both ends of a link have proved themselves.
    LinkUp {
        /// The link.
        link: LinkId,
        /// The peer.
        peer: Peer,
        /// What is sent to it; dropping the sender closes the link.
        queue: QueueSender,
    },
    /// A link is closed.
    LinkDown {
        /// The link.
        link: LinkId,
        /// The peer.
        vm: VmId,
    },
    /// A peer says something.
    LinkMessage {
        /// The link.
        link: LinkId,
        /// The peer.
        vm: VmId,
        /// What it says.
        message: Message,
    },
    /// The platform has answered an entry.
    Entry(EntryInput),
    /// The backend server has answered a sidecar.
    Sidecar(SidecarInput),
    /// Something worth logging happened on another thread.
    Event(Event),
    /// Asks for the whole state.
    Dump(oneshot::Sender<Value>),
    /// Asks to bring the gauges up to date.
    RefreshGauges(oneshot::Sender<()>),
}

/// The sending ends towards the control thread.
#[derive(Debug, Clone)]
pub(crate) struct ControlSender {
    /// All inputs; senders wait while it is full.
    pub(crate) inputs: mpsc::Sender<ControlInput>,
    /// Callers that are gone; never more than there are requests.
    pub(crate) disconnects: mpsc::UnboundedSender<RequestId>,
}

impl ControlSender {
    /// Hands in an input; false when the control thread has ended.
    pub(crate) async fn send(&self, input: ControlInput) -> bool {
        self.inputs.send(input).await.is_ok()
    }
}

/// Tells the thread of the links to keep links open to exactly these VMs.
#[derive(Debug)]
pub(crate) struct LinkTargets(pub(crate) BTreeMap<VmId, Vm>);

/// What the thread of the platform clients does.
#[derive(Debug)]
pub(crate) enum ClientCommand {
    /// Use the log.
    Log(JournalAction),
    /// Use the backend server.
    Backend(SidecarAction),
}
