//! The decisions of an entry: it takes callers' requests, owns partitions of the programs, and
//! sends calls to sidecars.

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

/// How an entry is set up.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Its VM.
    pub vm: VmId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The count of partitions, the same at every entry.
    pub partition_count: u16,
    /// Seeds the identifiers that this entry draws.
    pub seed: u64,
    /// The time between two heartbeats.
    pub heartbeat_us: SpanUs,
    /// The silence after which another entry counts as dead.
    pub peer_timeout_us: SpanUs,
    /// The silence after which another entry's partitions are taken over.
    pub takeover_us: SpanUs,
    /// How long after its start an entry waits before it claims what nobody owns.
    pub startup_claim_delay_us: SpanUs,
    /// How long a running call whose caller left goes on for the caller to resume it.
    pub resume_wait_us: SpanUs,
    /// How long ended programs are remembered, for repeats and late questions.
    pub ended_retention_us: SpanUs,
    /// The time between two snapshots of a partition, and of the configuration; well below the
    /// log's retention.
    pub snapshot_us: SpanUs,
    /// How long the end of an answer waits for its record before it goes out as pending.
    pub commit_wait_us: SpanUs,
    /// How long a call waits for a backend server when none can take it.
    pub backend_wait_us: SpanUs,
    /// How this entry uses the log.
    pub journal: JournalSettings,
    /// The safeguards in force; all but in test runs.
    pub safeguards: Safeguards,
}

impl EntrySettings {
    /// Settings for the entry on `vm`, with the usual times.
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

/// What an entry reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryInput {
    /// A caller's request, parsed.
    Request(Box<Request>),
    /// The caller is gone.
    CallerGone(RequestId),
    /// A caller asks for the answer of an earlier call.
    Fetch(Box<Fetch>),
    /// A caller or an operator ends a program.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Who ends it.
        reason: EndReason,
    },
    /// A link came up.
    LinkUp(Peer),
    /// A link went down.
    LinkDown(VmId),
    /// A peer says something.
    Link {
        /// The peer.
        from: VmId,
        /// What it says.
        message: Message,
    },
    /// The log has answered a read; `None` when it failed.
    LogRead {
        /// The stream.
        stream: StreamName,
        /// The answer.
        answer: Option<ReadResponse>,
    },
    /// The log has answered an append.
    LogAppended {
        /// The stream.
        stream: StreamName,
        /// The batch.
        batch: u64,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// Time has passed.
    Tick,
    /// Take no new work, finish what runs.
    Shutdown,
    /// The process ends now: answer what is unfinished as it stands.
    Force,
}

/// What an entry does.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryAction {
    /// Say something to a peer.
    Send {
        /// The peer.
        to: VmId,
        /// What to say.
        message: Message,
    },
    /// Keep links to exactly these VMs.
    Connect(Vec<Vm>),
    /// Close the link to this VM, which is silent; it is opened anew.
    Disconnect(VmId),
    /// Give a caller a part of its answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The part.
        part: AnswerPart,
    },
    /// Do something at the log.
    Log(JournalAction),
    /// Log an event.
    Event(Event),
    /// Everything has finished: the process may exit.
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
    /// The engines of a service that do not serve a model; emptied when any engine changes.
    pub(crate) engines_without_model: BTreeMap<(ServiceName, ModelName), BTreeSet<VmId>>,
    pub(crate) next_orders_us: TimeUs,
    /// The services on which this entry decides.
    pub(crate) placements: BTreeMap<ServiceName, PlacementPlanner>,
    /// Own claims to decide that were not yet read back.
    pub(crate) decider_claims: BTreeMap<ServiceName, RecordId>,
    pub(crate) decider_backoffs: BTreeMap<ServiceName, DeciderBackoff>,
    /// When the last snapshot of the configuration was read or written here.
    pub(crate) config_snapshot_us: Option<TimeUs>,
    /// Whether it was said that records of the configuration are missing.
    pub(crate) has_config_gap: bool,
    pub(crate) router: Router,
    pub(crate) retries: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) attempts: BTreeMap<AttemptId, RequestId>,
    pub(crate) programs: BTreeMap<ProgramId, LiveProgram>,
    pub(crate) awaited: BTreeMap<RecordId, Awaited>,
    pub(crate) releasing: BTreeMap<ProgramId, Releasing>,
    /// Non-idempotent calls on record whose outcome is being learned.
    pub(crate) open_calls: BTreeMap<CallKey, OpenCall>,
    pub(crate) kept_answers: KeptAnswers,
    pub(crate) kept_answers_until_us: TimeUs,
    /// Fetches that were passed on, with their owner and whom to answer.
    pub(crate) fetches: BTreeMap<RequestId, (VmId, ReplyTo)>,
    /// Programs whose end was asked for here and is not yet on record, with when it is asked for
    /// again and until when.
    pub(crate) end_requests: BTreeMap<ProgramId, EndRequest>,
    /// Programs that have ended and are still remembered.
    pub(crate) ended: BTreeMap<ProgramId, EndedProgram>,
    /// When peers without a link were heard last.
    pub(crate) last_heard_us: BTreeMap<VmId, TimeUs>,
    pub(crate) claim_backoffs: BTreeMap<PartitionId, ClaimBackoff>,
    pub(crate) taking_over: BTreeMap<PartitionId, Takeover>,
    /// Partitions that are being handed over, and those whose record of it is written.
    pub(crate) yielding: BTreeSet<PartitionId>,
    pub(crate) yield_written: BTreeSet<PartitionId>,
    pub(crate) last_snapshots_us: BTreeMap<PartitionId, TimeUs>,
    pub(crate) last_handled_us: TimeUs,
    /// Whether this process was paused and has not read the log since.
    pub(crate) is_ownership_unconfirmed: bool,
    pub(crate) confirmed_at_read: u64,
    pub(crate) next_heartbeat_us: TimeUs,
    /// When all programs are looked at next.
    pub(crate) next_program_sweep_us: TimeUs,
    pub(crate) started_us: Option<TimeUs>,
    pub(crate) leaving: bool,
}

impl Entry {
    /// An entry that has just started and has read nothing.
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
            retries: BTreeMap::new(),
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

    /// Reacts to one input.
    pub fn handle(&mut self, now: TimeUs, input: EntryInput, out: &mut Vec<EntryAction>) {
        self.started_us.get_or_insert(now);
        self.note_pause(now);
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

    /// Notices that this process stood still for long.
    ///
    /// By now another may own its partitions. The log would show it at the next record; but until
    /// then answers could be given and calls started from a state that is no longer in force. So
    /// nothing new starts before a read that began after the pause.
    fn note_pause(&mut self, now: TimeUs) {
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

    /// Whether both streams have been read to their end once, and no record is missing.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.config.is_complete()
            && self.config_journal.has_caught_up()
            && self.journal.has_caught_up()
            && (0..self.settings.partition_count)
                .all(|partition| self.partitions.is_complete(PartitionId(partition)))
    }

    /// Whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_caught_up() && !self.leaving
    }

    /// The revisions by which this process serves.
    #[must_use]
    pub fn revisions(&self) -> BTreeMap<ServiceName, Revision> {
        self.config.revisions()
    }

    /// Who this process is, for the links.
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
