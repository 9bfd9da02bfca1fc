//! Implements the entry role: accepts requests, owns partitions of programs, and dispatches calls
//! to sidecars.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use crate::call::{AnswerPart, Fetch, Request};
use crate::call_state::{
    Awaited, Call, ClaimBackoff, EndRequest, EndedProgram, KeptAnswers, LiveProgram, OpenCall,
    PeerState, Releasing, ReplyTo, Takeover,
};
use crate::config::Config;
use crate::entry_orders::{DeciderBackoff, EngineReport};
use crate::event::{Event, EventKind};
use crate::ids::{
    AttemptId, CallKey, Incarnation, ModelName, Offset, PartitionId, ProgramId, RecordId,
    RequestId, Revision, ServiceName, VmId, ZoneName,
};
use crate::journal::{AppendOutcome, Journal, JournalAction, JournalSettings};
use crate::membership::{Membership, MembershipSettings};
use crate::message::{Message, Peer};
use crate::partition_replay::Partitions;
use crate::placement::PlacementPlanner;
use crate::platform::{ReadResponse, StreamName, Vm, VmRole};
use crate::record::EndReason;
use crate::retry::RetryBudget;
use crate::route::{RouteSettings, Router};
use crate::safeguards::Safeguards;
use crate::units::{SpanUs, TimeUs};

/// The settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The VM of the entry.
    pub vm: VmId,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The availability zone of the entry.
    pub zone: ZoneName,
    /// The number of partitions; must be the same at every entry.
    pub partition_count: u16,
    /// The seed of the generator for identifiers and jitter.
    pub seed: u64,
    /// The interval between heartbeats.
    pub heartbeat_us: SpanUs,
    /// The silence after which a peer counts as dead and its link is closed.
    pub peer_timeout_us: SpanUs,
    /// The silence after which the partitions of a disconnected entry are taken over.
    pub takeover_us: SpanUs,
    /// The delay after the start before an entry claims partitions that never had an owner.
    pub startup_claim_delay_us: SpanUs,
    /// How long a running call continues after its caller disconnected, so that it can be resumed.
    pub resume_wait_us: SpanUs,
    /// How long ended programs are remembered, for repeated calls and fetches.
    pub ended_retention_us: SpanUs,
    /// The interval between snapshots of a partition, and of the configuration; must be well below
    /// the log's retention.
    pub snapshot_us: SpanUs,
    /// How long the end of an answer waits for its record before it is sent as pending.
    pub commit_wait_us: SpanUs,
    /// How long a call waits for a backend server if none can take it.
    pub backend_wait_us: SpanUs,
    /// How the entry reads and appends to the log.
    pub journal: JournalSettings,
    /// The enabled safeguards; only tests disable any.
    pub safeguards: Safeguards,
}

impl EntrySettings {
    /// Creates settings for the entry on `vm` with the default times.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, zone: ZoneName) -> Self {
        Self {
            vm,
            incarnation,
            zone,
            partition_count: 64,
            seed: incarnation.0,
            heartbeat_us: SpanUs::from_ms(500),
            peer_timeout_us: SpanUs::from_s(3),
            takeover_us: SpanUs::from_ms(1_500),
            startup_claim_delay_us: SpanUs::from_s(10),
            resume_wait_us: SpanUs::from_s(5),
            ended_retention_us: SpanUs::from_s(600),
            snapshot_us: SpanUs::from_s(600),
            commit_wait_us: SpanUs::from_ms(250),
            backend_wait_us: SpanUs::from_s(1),
            journal: JournalSettings::default(),
            safeguards: Safeguards::default(),
        }
    }
}

/// An input of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryInput {
    /// A parsed request of a caller.
    Request(Box<Request>),
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// A caller asks for the answer of an earlier call.
    Fetch(Box<Fetch>),
    /// A caller or an operator ends a program.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Why it ends.
        reason: EndReason,
    },
    /// A link was established.
    LinkUp(Peer),
    /// A link was lost.
    LinkDown(VmId),
    /// A peer has sent a message.
    Link {
        /// The peer.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A read of the log has ended.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// The answer; `None` if the read failed.
        answer: Option<ReadResponse>,
    },
    /// An append to the log has ended.
    LogAppended {
        /// The stream.
        stream: StreamName,
        /// The number of the batch.
        batch: u64,
        /// The outcome.
        outcome: AppendOutcome,
    },
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// A clock tick.
    Tick,
    /// Shut down: accept no new calls and finish the running ones.
    Shutdown,
    /// Shut down at once: answer unfinished calls without waiting for their outcome.
    Force,
}

/// An action that an entry requests from its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Keep links to exactly these VMs.
    Connect(Vec<Vm>),
    /// Close the link to this VM, which timed out; the link is reopened.
    Disconnect(VmId),
    /// Send a caller a part of its answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The part.
        part: AnswerPart,
    },
    /// Access the log.
    Log(JournalAction),
    /// Log an event.
    Event(Event),
    /// The shutdown is complete and the process may exit.
    Finished,
}

/// The state of an entry.
#[derive(Debug)]
pub struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) rng: ChaCha12Rng,
    pub(crate) config: Config,
    pub(crate) config_journal: Journal,
    pub(crate) journal: Journal,
    pub(crate) partitions: Partitions,
    pub(crate) vms: BTreeMap<VmId, Vm>,
    pub(crate) peers: BTreeMap<VmId, PeerState>,
    pub(crate) membership: Membership,
    pub(crate) next_membership_check_us: TimeUs,
    pub(crate) engines: BTreeMap<VmId, EngineReport>,
    /// The engines of a service that do not serve a model; cleared when any engine changes.
    pub(crate) engines_without_model: BTreeMap<(ServiceName, ModelName), BTreeSet<VmId>>,
    pub(crate) next_orders_us: TimeUs,
    /// The placement of the services that this entry decides.
    pub(crate) placements: BTreeMap<ServiceName, PlacementPlanner>,
    /// Decider claims of this entry that have not been read back.
    pub(crate) decider_claims: BTreeMap<ServiceName, RecordId>,
    pub(crate) decider_backoffs: BTreeMap<ServiceName, DeciderBackoff>,
    /// When the last snapshot of the configuration was read or written here.
    pub(crate) config_snapshot_us: Option<TimeUs>,
    /// Whether missing records of the configuration have been reported.
    pub(crate) has_config_gap: bool,
    pub(crate) router: Router,
    pub(crate) retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) attempts: BTreeMap<AttemptId, RequestId>,
    pub(crate) programs: BTreeMap<ProgramId, LiveProgram>,
    pub(crate) awaited: BTreeMap<RecordId, Awaited>,
    pub(crate) releasing: BTreeMap<ProgramId, Releasing>,
    /// Recorded non-idempotent calls with an unresolved outcome.
    pub(crate) open_calls: BTreeMap<CallKey, OpenCall>,
    pub(crate) kept_answers: KeptAnswers,
    pub(crate) kept_answers_until_us: TimeUs,
    /// Forwarded fetches, with the owner that was asked and the recipient of the answer.
    pub(crate) fetches: BTreeMap<RequestId, (VmId, ReplyTo)>,
    /// Requests made here to end programs whose end is not recorded yet.
    pub(crate) end_requests: BTreeMap<ProgramId, EndRequest>,
    /// Ended programs, remembered for `ended_retention_us`.
    pub(crate) ended: BTreeMap<ProgramId, EndedProgram>,
    /// When peers without a link were last heard from.
    pub(crate) last_heard_us: BTreeMap<VmId, TimeUs>,
    pub(crate) claim_backoffs: BTreeMap<PartitionId, ClaimBackoff>,
    pub(crate) taking_over: BTreeMap<PartitionId, Takeover>,
    /// Partitions that are being handed over, and those whose hand-over record has been written.
    pub(crate) yielding: BTreeSet<PartitionId>,
    pub(crate) yield_written: BTreeSet<PartitionId>,
    pub(crate) last_snapshots_us: BTreeMap<PartitionId, TimeUs>,
    pub(crate) last_handled_us: TimeUs,
    /// Whether this process was suspended and has not read the log to its end since.
    pub(crate) is_ownership_unconfirmed: bool,
    pub(crate) confirmed_at_read: u64,
    pub(crate) next_heartbeat_us: TimeUs,
    /// When all programs are checked next.
    pub(crate) next_program_sweep_us: TimeUs,
    pub(crate) started_us: Option<TimeUs>,
    pub(crate) leaving: bool,
}

impl Entry {
    /// Creates an entry that has read nothing yet.
    #[must_use]
    pub fn new(settings: EntrySettings) -> Self {
        let zone = Some(settings.zone.clone());
        Self {
            rng: ChaCha12Rng::seed_from_u64(settings.seed),
            config: Config::default(),
            config_journal: Journal::new(StreamName::Config, settings.journal.clone()),
            journal: Journal::new(StreamName::Journal, settings.journal.clone()),
            partitions: Partitions::starting_at(Offset(0), settings.safeguards.clone()),
            vms: BTreeMap::new(),
            peers: BTreeMap::new(),
            membership: Membership::new(MembershipSettings {
                silence_us: settings.peer_timeout_us,
                ..MembershipSettings::default()
            }),
            next_membership_check_us: TimeUs(0),
            engines: BTreeMap::new(),
            engines_without_model: BTreeMap::new(),
            next_orders_us: TimeUs(0),
            placements: BTreeMap::new(),
            decider_claims: BTreeMap::new(),
            decider_backoffs: BTreeMap::new(),
            config_snapshot_us: None,
            has_config_gap: false,
            router: Router::new(RouteSettings {
                zone,
                ..Default::default()
            }),
            retry_budgets: BTreeMap::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            programs: BTreeMap::new(),
            awaited: BTreeMap::new(),
            releasing: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            kept_answers: BTreeMap::new(),
            kept_answers_until_us: TimeUs(0),
            fetches: BTreeMap::new(),
            end_requests: BTreeMap::new(),
            ended: BTreeMap::new(),
            last_heard_us: BTreeMap::new(),
            claim_backoffs: BTreeMap::new(),
            taking_over: BTreeMap::new(),
            yielding: BTreeSet::new(),
            yield_written: BTreeSet::new(),
            last_snapshots_us: BTreeMap::new(),
            last_handled_us: TimeUs(0),
            is_ownership_unconfirmed: false,
            confirmed_at_read: 0,
            next_heartbeat_us: TimeUs(0),
            next_program_sweep_us: TimeUs(0),
            started_us: None,
            leaving: false,
            settings,
        }
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: TimeUs, input: EntryInput, out: &mut Vec<EntryAction>) {
        self.started_us.get_or_insert(now);
        self.detect_pause(now);
        match input {
            EntryInput::Request(request) => {
                self.on_request(now, *request, &ReplyTo::Caller, 0, out);
            }
            EntryInput::CallerGone(request) => self.on_caller_gone(now, request, out),
            EntryInput::Fetch(fetch) => self.on_fetch(now, &fetch, &ReplyTo::Caller, 0, out),
            EntryInput::EndProgram { program, reason } => {
                self.request_program_end(now, program, reason, out);
            }
            EntryInput::LinkUp(peer) => self.on_link_up(now, &peer, out),
            EntryInput::LinkDown(vm) => self.on_link_down(now, &vm, out),
            EntryInput::Link { from, message } => self.on_message(now, from, message, out),
            EntryInput::LogRead { stream, answer } => self.on_log_read(now, stream, answer, out),
            EntryInput::LogAppended {
                stream,
                batch,
                outcome,
            } => {
                let event = self.journal_of(stream).on_append(now, batch, outcome);
                out.extend(event.map(EntryAction::Event));
            }
            EntryInput::Vms(vms) => self.on_vms(now, vms, out),
            EntryInput::Tick => self.on_tick(now, out),
            EntryInput::Shutdown => {
                self.leaving = true;
                out.push(EntryAction::Event(Event::new(EventKind::ShutdownStarted)));
                self.next_heartbeat_us = now;
            }
            EntryInput::Force => self.force_shutdown(now, out),
        }
        self.poll_log(now, out);
    }

    /// Detects that this process was suspended for at least `takeover_us`.
    ///
    /// Another entry may own its partitions by now, and until the next log record calls would be
    /// started and answered from outdated state. So nothing new starts before the end of a read
    /// that began after the pause.
    fn detect_pause(&mut self, now: TimeUs) {
        let pause_us = now.since(self.last_handled_us);
        self.last_handled_us = now;
        if pause_us < self.settings.takeover_us || self.started_us == Some(now) {
            return;
        }
        self.is_ownership_unconfirmed = true;
        self.confirmed_at_read = self.journal.schedule_read(now);
        for peer in self.peers.values_mut() {
            peer.heard_us = now;
        }
        self.membership.on_pause(now);
    }

    pub(crate) fn journal_of(&mut self, stream: StreamName) -> &mut Journal {
        match stream {
            StreamName::Config => &mut self.config_journal,
            StreamName::Journal => &mut self.journal,
        }
    }

    /// Returns whether both streams have been read to their end once and no record is missing.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.config.is_complete()
            && self.config_journal.has_caught_up()
            && self.journal.has_caught_up()
            && (0..self.settings.partition_count)
                .all(|partition| self.partitions.is_complete(PartitionId(partition)))
    }

    /// Returns whether the load balancer should send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_caught_up() && !self.leaving
    }

    /// Returns the revision of the active document of each service.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.config.revisions()
    }

    /// Returns how this process identifies itself to its peers.
    #[must_use]
    pub fn peer(&self) -> Peer {
        Peer {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            role: VmRole::Entry,
            zone: self.settings.zone.clone(),
            service: None,
        }
    }
}
