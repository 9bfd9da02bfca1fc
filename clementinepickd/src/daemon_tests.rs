//! Tests that an entry and a sidecar go on when a task of their threads panics.

use std::net::Ipv4Addr;
use std::net::TcpListener as StdListener;
use std::time::Duration;

use actix_rt::System;
use actix_rt::time::timeout;
use clementinepick::call::PlainCall;
use clementinepick::entry::EntryInput;
use clementinepick::event::EventKind;
use clementinepick::ids::{AttemptId, Incarnation, Offset};
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::message::Peer;
use clementinepick::platform::StreamName;
use clementinepick::sidecar::{BackendEvent, SidecarAction, SidecarInput};
use clementinepick::units::SpanUs;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clients;
use crate::control_messages::{ClientCommand, ControlInput, ControlSender};
use crate::gateway_tests::{WAIT, wait_until};
use crate::injected_panics::{inject, remaining};
use crate::link_manager;
use crate::role_logic::new_role_logic;
use crate::settings::{BackendKind, EntryRole, Limits, LinkSettings, Role, Settings, SidecarRole};

const ROUNDS: usize = 3;
/// The time in which nothing more is expected to come.
const SHORTLY: Duration = Duration::from_millis(100);

fn control() -> (ControlSender, mpsc::Receiver<ControlInput>) {
    let (inputs, received) = mpsc::channel(64);
    let (disconnects, _) = mpsc::unbounded_channel();
    (
        ControlSender {
            inputs,
            disconnects,
        },
        received,
    )
}

fn peer() -> Peer {
    let (_, peer) = new_role_logic(&Settings::default(), Incarnation(1));
    peer
}

fn sidecar(backend_kind: BackendKind) -> Role {
    Role::Sidecar(SidecarRole {
        backend_kind,
        ..SidecarRole::default()
    })
}

/// Runs the clients of a role with one command; returns what they send until `is_last`.
fn run_clients(
    role: Role,
    command: Option<ClientCommand>,
    is_last: impl Fn(&ControlInput) -> bool,
) -> Vec<ControlInput> {
    let (sender, mut received) = control();
    let (commands, queue) = mpsc::unbounded_channel();
    if let Some(command) = command {
        commands.send(command).expect("a receiver");
    }
    System::new().block_on(async {
        let collect = async {
            let mut inputs = Vec::new();
            while let Ok(Some(input)) = timeout(WAIT, received.recv()).await {
                inputs.push(input);
                if inputs.last().is_some_and(&is_last) {
                    break;
                }
            }
            while let Ok(Some(input)) = timeout(SHORTLY, received.recv()).await {
                inputs.push(input);
            }
            inputs
        };
        tokio::select! {
            () = clients::run(role, Limits::default(), sender, queue) => unreachable!("it goes on"),
            inputs = collect => inputs,
        }
    })
}

fn count_events(inputs: &[ControlInput], kind: EventKind) -> usize {
    let is_of_kind =
        |input: &&ControlInput| matches!(input, ControlInput::Event(event) if event.kind == kind);
    inputs.iter().filter(is_of_kind).count()
}

/// Guards against a log that is never read or written again because nobody answers.
#[test]
fn a_call_to_the_log_that_panics_is_answered() {
    inject("log_call", 1);
    let read = JournalAction::Read {
        stream: StreamName::Journal,
        from: Offset(0),
    };
    let is_read = |input: &ControlInput| {
        matches!(
            input,
            ControlInput::Entry(EntryInput::LogRead { answer: None, .. })
        )
    };
    let role = || Role::Entry(EntryRole::default());
    let inputs = run_clients(role(), Some(ClientCommand::Log(read)), is_read);
    assert!(inputs.iter().any(is_read), "{inputs:?}");
    assert_eq!(count_events(&inputs, EventKind::InvariantBroken), 1);

    inject("log_call", 1);
    let append = JournalAction::Append {
        stream: StreamName::Journal,
        batch: 1,
        records: Vec::new(),
    };
    let is_unknown = |input: &ControlInput| {
        let outcome = AppendOutcome::Unknown;
        matches!(input, ControlInput::Entry(EntryInput::LogAppended { outcome: o, .. }) if *o == outcome)
    };
    let inputs = run_clients(role(), Some(ClientCommand::Log(append)), is_unknown);
    assert!(inputs.iter().any(is_unknown), "{inputs:?}");
    assert_eq!(count_events(&inputs, EventKind::InvariantBroken), 1);
}

/// Guards against a call whose outcome nobody hears.
#[test]
fn a_call_to_a_service_that_panics_fails_as_one_that_may_have_run() {
    inject("plain_call", 1);
    let call = SidecarAction::Call {
        attempt: AttemptId(1),
        call: PlainCall {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        },
        deadline_left_us: SpanUs::from_s(9),
    };
    let is_failed = |input: &ControlInput| {
        let ControlInput::Sidecar(SidecarInput::Backend { event, .. }) = input else {
            return false;
        };
        matches!(event, BackendEvent::Failed { not_run: false, .. })
    };
    let command = ClientCommand::Backend(call);
    let inputs = run_clients(sidecar(BackendKind::Plain), Some(command), is_failed);
    assert!(inputs.iter().any(is_failed), "{inputs:?}");
    assert_eq!(count_events(&inputs, EventKind::InvariantBroken), 1);
}

/// Guards against a process that no longer reads the list of VMs or the reports of its engine.
#[test]
fn polls_that_panic_are_begun_again() {
    let polls = [
        ("vm_list", Role::Entry(EntryRole::default())),
        ("engine_reports", sidecar(BackendKind::Engine)),
    ];
    for (task, role) in polls {
        inject(task, 2);
        let inputs = run_clients(role, None, |_| remaining(task) == 0);
        assert_eq!(remaining(task), 0, "{task}");
        assert_eq!(count_events(&inputs, EventKind::TaskRestarted), 2, "{task}");
    }
}

/// Guards against links that count as open for good, until no peer can open another.
#[test]
fn a_link_that_panics_leaves_room_for_another() {
    let (sender, mut received) = control();
    let (_targets, queue) = mpsc::unbounded_channel();
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("an address");
    let settings = LinkSettings {
        max_links: 1,
        ..LinkSettings::default()
    };
    System::new().block_on(async {
        let check = async {
            for round in 0..ROUNDS {
                inject("accept_link", 1);
                let _peer = TcpStream::connect(address).await.expect("a listener");
                assert!(wait_until(|| remaining("accept_link") == 0).await, "{round}");
            }
            for round in 0..ROUNDS {
                let event = timeout(WAIT, received.recv()).await;
                assert!(matches!(event, Ok(Some(ControlInput::Event(_)))), "{round}");
            }
        };
        tokio::select! {
            () = link_manager::run(settings, peer(), listener, sender, queue) => unreachable!("it goes on"),
            () = check => {}
        }
    });
}
