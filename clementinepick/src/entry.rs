//! The decisions of an entry: it takes callers' requests, owns partitions of the programs, and
//! sends calls to sidecars.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use serde_json::{Value, json};

use crate::budget::{Amount, Grant};
use crate::call::{AnswerPart, CallDone, Payload, Request, TurnState, Usage};
use crate::config::{Config, InForce, Verdict};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::ids::{
    AttemptId, CallSeq, ClassName, Epoch, Incarnation, PartitionId, ProgramId, RecordId, RequestId,
    VmId, ZoneName,
};
use crate::journal::{AppendOutcome, Journal, JournalAction, JournalSettings};
use crate::message::{Dispatch, Heartbeat, Message, Peer};
use crate::order::Sequencer;
use crate::own::suggested_owner;
use crate::platform::{ReadAnswer, StreamName, Vm, VmRole, VmState};
use crate::prompt::{ChainHash, Prompt};
use crate::record::{Budget, EndReason, OwnedRecord, Record, RecordBody};
use crate::replay::{Applied, Partitions};
use crate::route::{RouteQuery, RouteSettings, Router};
use crate::units::{SpanUs, TimeUs, Tokens};

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
    /// How long the end of an answer waits for its record before it goes out as pending.
    pub commit_wait_us: SpanUs,
    /// How this entry uses the log.
    pub journal: JournalSettings,
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
            commit_wait_us: SpanUs::from_ms(250),
            journal: JournalSettings::default(),
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
    /// A caller or an operator ends a program.
    EndProgram(ProgramId),
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
        answer: Option<ReadAnswer>,
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

/// Where the parts of an answer go.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReplyTo {
    Caller,
    Entry(VmId),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// Waits for the partition's owner.
    Own,
    /// Passed on to the owner.
    Forwarded(VmId),
    /// Waits for an earlier call of its program.
    Order,
    /// Waits for a record: the program's opening, a slice or the start of a non-idempotent call.
    Claim,
    /// Waits for a backend server.
    Route,
    /// Runs.
    Running { attempt: AttemptId, target: VmId },
    /// Ended, waits for the turn's record.
    Record { since_us: TimeUs },
}

#[derive(Debug, Clone)]
struct Call {
    request: Request,
    reply_to: ReplyTo,
    hops: u8,
    step: Step,
    deadline_us: TimeUs,
    class: ClassName,
    in_force: InForce,
    idempotent: bool,
    seq: Option<CallSeq>,
    /// The tokens held in the account of the program.
    held_tokens: Option<Tokens>,
    /// The target of a claimed non-idempotent call.
    claimed: Option<VmId>,
    tried: BTreeSet<VmId>,
    answer: String,
    done: Option<CallDone>,
}

impl Call {
    fn prompt(&self) -> Option<&Prompt> {
        match &self.request.payload {
            Payload::Chat(chat) => Some(&chat.prompt),
            Payload::Plain(_) => None,
        }
    }

    fn max_output_tokens(&self) -> Tokens {
        let Payload::Chat(chat) = &self.request.payload else {
            return Tokens(0);
        };
        let limit = self
            .in_force
            .document
            .class(&self.class)
            .map_or(Tokens(0), |c| c.max_output_tokens);
        chat.max_output_tokens
            .map_or(limit, |wanted| wanted.min(limit))
    }

    fn work_tokens(&self) -> Tokens {
        self.prompt().map_or(Tokens(0), Prompt::length_tokens) + self.max_output_tokens()
    }
}

/// What the owner keeps of a live program beside the log's word.
#[derive(Debug, Clone, Default)]
struct LiveProgram {
    order: Sequencer,
    last_backend: Option<VmId>,
    /// Sidecars that may hold its cache.
    holders: BTreeSet<VmId>,
    last_used_us: TimeUs,
    opening: bool,
}

/// What a record that was written here is awaited for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Awaited {
    Claim(PartitionId),
    Opened(ProgramId),
    Step(RequestId),
    Turn(RequestId),
}

#[derive(Debug, Clone)]
struct PeerState {
    peer: Peer,
    heard_us: TimeUs,
    leaving: bool,
}

/// The state of an entry.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    rng: ChaCha12Rng,
    config: Config,
    config_journal: Journal,
    journal: Journal,
    partitions: Partitions,
    vms: BTreeMap<VmId, Vm>,
    peers: BTreeMap<VmId, PeerState>,
    router: Router,
    calls: BTreeMap<RequestId, Call>,
    attempts: BTreeMap<AttemptId, RequestId>,
    programs: BTreeMap<ProgramId, LiveProgram>,
    awaited: BTreeMap<RecordId, Awaited>,
    releasing: BTreeMap<ProgramId, BTreeSet<VmId>>,
    next_heartbeat_us: TimeUs,
    started_us: Option<TimeUs>,
    leaving: bool,
}

/// The most times that a request is passed on between entries.
const MAX_HOPS: u8 = 3;

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
            partitions: Partitions::default(),
            vms: BTreeMap::new(),
            peers: BTreeMap::new(),
            router: Router::new(RouteSettings {
                zone,
                ..Default::default()
            }),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            programs: BTreeMap::new(),
            awaited: BTreeMap::new(),
            releasing: BTreeMap::new(),
            next_heartbeat_us: TimeUs(0),
            started_us: None,
            leaving: false,
            settings,
        }
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: TimeUs, input: EntryInput, out: &mut Vec<EntryAction>) {
        self.started_us.get_or_insert(now);
        match input {
            EntryInput::Request(request) => {
                self.on_request(now, *request, &ReplyTo::Caller, 0, out);
            }
            EntryInput::CallerGone(request) => self.on_gone(now, request, out),
            EntryInput::EndProgram(program) => {
                self.end_program(now, program, EndReason::Caller, out);
            }
            EntryInput::LinkUp(peer) => self.on_link_up(now, peer, out),
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
            EntryInput::Vms(vms) => self.on_vms(vms, out),
            EntryInput::Tick => self.on_tick(now, out),
            EntryInput::Shutdown => {
                self.leaving = true;
                out.push(EntryAction::Event(Event::new(EventKind::ShutdownStarted)));
                self.next_heartbeat_us = now;
            }
        }
        self.poll_log(now, out);
    }

    fn journal_of(&mut self, stream: StreamName) -> &mut Journal {
        match stream {
            StreamName::Config => &mut self.config_journal,
            StreamName::Journal => &mut self.journal,
        }
    }

    fn poll_log(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut actions = Vec::new();
        self.config_journal.poll(now, &mut actions);
        self.journal.poll(now, &mut actions);
        out.extend(actions.into_iter().map(EntryAction::Log));
    }

    // Parse is done; from here on a call goes through own, order, budget, claim, route, record.

    fn on_request(
        &mut self,
        now: TimeUs,
        request: Request,
        reply_to: &ReplyTo,
        hops: u8,
        out: &mut Vec<EntryAction>,
    ) {
        let id = request.id;
        let call = match self.check(now, request, reply_to, hops) {
            Ok(call) => call,
            Err(refused) => {
                answer(reply_to, id, AnswerPart::Failed(refused), out);
                return;
            }
        };
        self.calls.insert(id, call);
        self.step_own(now, id, out);
    }

    fn check(
        &self,
        now: TimeUs,
        request: Request,
        reply_to: &ReplyTo,
        hops: u8,
    ) -> Result<Call, CallError> {
        if !self.is_caught_up() {
            return Err(CallError::new(
                ErrorKind::NotReady,
                "this entry still reads the log",
            ));
        }
        if self.leaving && *reply_to == ReplyTo::Caller {
            return Err(CallError::new(
                ErrorKind::ShuttingDown,
                "this entry is leaving",
            ));
        }
        let Some(in_force) = self.config.service(&request.service) else {
            let detail = format!("no document for `{}` is in force", request.service);
            return Err(CallError::at(ErrorKind::UnknownService, "service", detail));
        };
        let document = &in_force.document;
        let (route_class, idempotent) = match &request.payload {
            Payload::Chat(chat) => {
                if !document.models.is_empty() && !document.models.contains(&chat.model) {
                    let detail = format!("`{}` is not served here", chat.model);
                    return Err(CallError::at(ErrorKind::UnknownModel, "model", detail));
                }
                (None, true)
            }
            Payload::Plain(call) => {
                let route = document.route(&call.method, &call.path);
                let class = route.and_then(|route| route.class.clone());
                (class, document.is_idempotent(&call.method, &call.path))
            }
        };
        let class = request.class.clone().or(route_class);
        let class = class.unwrap_or_else(|| document.default_class.clone());
        let Some(rules) = document.class(&class) else {
            let detail = format!(
                "the document of `{}` has no class `{class}`",
                request.service
            );
            return Err(CallError::at(
                ErrorKind::UnknownClass,
                crate::parse::CLASS_HEADER,
                detail,
            ));
        };
        let left_us = request
            .deadline_left_us
            .map_or(rules.deadline_us, |left| left.min(rules.deadline_us));
        Ok(Call {
            idempotent: idempotent && !request.non_idempotent,
            reply_to: reply_to.clone(),
            hops,
            step: Step::Own,
            deadline_us: now.after(left_us),
            class,
            in_force: in_force.clone(),
            seq: None,
            held_tokens: None,
            claimed: None,
            tried: BTreeSet::new(),
            answer: String::new(),
            done: None,
            request,
        })
    }

    fn partition_of(&self, program: &ProgramId) -> PartitionId {
        program.partition(self.settings.partition_count)
    }

    fn own_epoch(&self, partition: PartitionId) -> Option<Epoch> {
        let owner = self.partitions.owner(partition)?;
        let own = owner.vm == self.settings.vm && owner.incarnation == self.settings.incarnation;
        own.then_some(owner.epoch)
    }

    fn is_live_entry(&self, vm: &VmId) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|p| p.peer.role == VmRole::Entry && !p.leaving)
    }

    fn step_own(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let partition = self.partition_of(&call.request.program);
        if self.own_epoch(partition).is_some() {
            self.step_order(now, id, out);
            return;
        }
        let hops = call.hops;
        let owner = self
            .partitions
            .owner(partition)
            .map(|owner| owner.vm.clone());
        let yielded = self
            .partitions
            .get(partition)
            .is_some_and(|state| state.yielded);
        let target = match owner {
            Some(vm) if self.is_live_entry(&vm) && !yielded => Some(vm),
            _ => self.claimant(partition),
        };
        match target {
            Some(vm) if vm == self.settings.vm => self.claim_partition(partition),
            Some(vm) if hops < MAX_HOPS => self.forward(now, id, vm, out),
            Some(_) | None => {}
        }
    }

    /// The entry that should claim a partition whose owner is gone.
    fn claimant(&self, partition: PartitionId) -> Option<VmId> {
        let others = self
            .peers
            .iter()
            .filter(|(vm, _)| self.is_live_entry(vm))
            .map(|(vm, _)| vm);
        let own = (!self.leaving).then_some(&self.settings.vm);
        suggested_owner(partition, others.chain(own)).cloned()
    }

    fn claim_partition(&mut self, partition: PartitionId) {
        if self
            .awaited
            .values()
            .any(|awaited| *awaited == Awaited::Claim(partition))
        {
            return;
        }
        let over = self.partitions.owner(partition).map(|owner| owner.epoch);
        let id = self.write(RecordBody::Claim { partition, over });
        self.awaited.insert(id, Awaited::Claim(partition));
    }

    fn write(&mut self, body: RecordBody) -> RecordId {
        let id = RecordId::draw(&mut self.rng);
        let (writer, incarnation) = (self.settings.vm.clone(), self.settings.incarnation);
        self.journal.push(Record {
            id,
            writer,
            incarnation,
            body,
        });
        id
    }

    fn write_owned(&mut self, partition: PartitionId, entry: OwnedRecord) -> Option<RecordId> {
        let epoch = self.own_epoch(partition)?;
        Some(self.write(RecordBody::Owned {
            partition,
            epoch,
            entry,
        }))
    }

    fn forward(&mut self, now: TimeUs, id: RequestId, to: VmId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let mut request = call.request.clone();
        request.deadline_left_us = Some(call.deadline_us.since(now));
        call.step = Step::Forwarded(to.clone());
        let message = Message::Forward {
            request: Box::new(request),
            hops: call.hops + 1,
        };
        out.push(EntryAction::Send { to, message });
    }

    fn step_order(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let program = call.request.program.clone();
        let partition = program.partition(self.settings.partition_count);
        let recorded = self.partitions.program(partition, &program);
        if let Some(reason) = recorded.and_then(|state| state.ended) {
            let detail = format!("the program has ended ({reason:?})");
            self.refuse(
                now,
                id,
                CallError::new(ErrorKind::ProgramEnded, detail),
                out,
            );
            return;
        }
        let next = recorded.map_or(CallSeq(0), |state| state.next);
        let known = recorded.is_some();
        let live = self
            .programs
            .entry(program.clone())
            .or_insert_with(|| LiveProgram {
                order: Sequencer::starting_at(next),
                ..LiveProgram::default()
            });
        live.last_used_us = now;
        match live.order.push(now, id, call.request.seq) {
            Ok(seq) => {
                call.seq = Some(seq);
                call.step = Step::Order;
            }
            Err(refused) => {
                self.refuse(now, id, refused, out);
                return;
            }
        }
        if known {
            self.start_next(now, &program, out);
        } else {
            self.open_program(id);
        }
    }

    fn open_program(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let program = call.request.program.clone();
        if self
            .programs
            .get_mut(&program)
            .is_none_or(|p| std::mem::replace(&mut p.opening, true))
        {
            return;
        }
        let rules = &call.in_force.document.program;
        let tokens = call.request.budget_tokens.unwrap_or(rules.budget_tokens);
        let entry = OwnedRecord::ProgramOpened {
            program: program.clone(),
            parent: call.request.parent.clone(),
            service: call.request.service.clone(),
            class: call.class.clone(),
            budget: Budget {
                tokens: tokens.min(rules.budget_tokens),
                calls: rules.budget_calls,
                time_us: rules.budget_time_us,
            },
        };
        if let Some(id) = self.write_owned(self.partition_of(&program), entry) {
            self.awaited.insert(id, Awaited::Opened(program));
        }
    }

    fn start_next(&mut self, now: TimeUs, program: &ProgramId, out: &mut Vec<EntryAction>) {
        let next = self
            .programs
            .get_mut(program)
            .and_then(|live| live.order.start_next());
        if let Some((_, id)) = next {
            self.step_budget(now, id, out);
        }
    }

    fn step_budget(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let program = call.request.program.clone();
        let wanted_tokens = call.work_tokens();
        let partition = program.partition(self.settings.partition_count);
        let Some(account) = self.partitions.account_mut(partition, &program) else {
            return;
        };
        match account.hold(wanted_tokens) {
            Grant::Held => {
                call.held_tokens = Some(wanted_tokens);
                self.step_route(now, id, out);
            }
            Grant::NeedsSlice(Amount { tokens, calls }) => {
                call.step = Step::Claim;
                let entry = OwnedRecord::SliceReserved {
                    program,
                    tokens,
                    calls,
                };
                if let Some(record) = self.write_owned(partition, entry) {
                    self.awaited.insert(record, Awaited::Step(id));
                }
            }
            Grant::Exhausted => {
                let detail = "the program's budget does not cover this call";
                self.refuse(
                    now,
                    id,
                    CallError::new(ErrorKind::BudgetExhausted, detail),
                    out,
                );
            }
        }
    }

    fn step_route(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let last = self
            .programs
            .get(&call.request.program)
            .and_then(|p| p.last_backend.as_ref());
        let query = RouteQuery {
            service: &call.request.service,
            prompt: call.prompt(),
            last,
            tried: &call.tried,
        };
        let Some(target) = self.router.pick(now, &query).map(|choice| choice.vm) else {
            self.no_backend(now, id, out);
            return;
        };
        if call.idempotent {
            self.dispatch(now, id, target, out);
        } else {
            self.claim_call(id, target);
        }
    }

    fn no_backend(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.tried.is_empty() {
            call.step = Step::Route;
            return;
        }
        let detail = "every backend server of the service has refused or failed";
        self.refuse(now, id, CallError::new(ErrorKind::NoBackend, detail), out);
    }

    /// Puts the start of a non-idempotent call on record before it is sent.
    ///
    /// Should this entry die after the call was sent, its successor finds the record and asks the
    /// sidecar what became of the call, where it would otherwise run it a second time.
    fn claim_call(&mut self, id: RequestId, target: VmId) {
        let Some(peer) = self.peers.get(&target) else {
            return;
        };
        let target_incarnation = peer.peer.incarnation;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.step = Step::Claim;
        call.claimed = Some(target.clone());
        let Some(seq) = call.seq else { return };
        let partition = call
            .request
            .program
            .partition(self.settings.partition_count);
        let entry = OwnedRecord::CallStarted {
            call: call.request.key(seq),
            digest: digest(&call.request.payload),
            key: call.request.idempotency_key.clone(),
            target,
            target_incarnation,
        };
        if let Some(record) = self.write_owned(partition, entry) {
            self.awaited.insert(record, Awaited::Step(id));
        }
    }

    fn dispatch(&mut self, now: TimeUs, id: RequestId, target: VmId, out: &mut Vec<EntryAction>) {
        let attempt = AttemptId::draw(&mut self.rng);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let program = &call.request.program;
        let partition = program.partition(self.settings.partition_count);
        let Some(epoch) = self.partitions.owner(partition).map(|owner| owner.epoch) else {
            return;
        };
        let Some(seq) = call.seq else { return };
        let attained = self
            .partitions
            .program(partition, program)
            .map(|p| p.account.spent());
        let message = Dispatch {
            attempt,
            call: call.request.key(seq),
            partition,
            epoch,
            service: call.request.service.clone(),
            revision: call.in_force.published.revision,
            class: call.class.clone(),
            idempotent: call.idempotent,
            deadline_left_us: call.deadline_us.since(now),
            attained_tokens: attained.map_or(Tokens(0), |spent| spent.tokens),
            max_output_tokens: call.max_output_tokens(),
            expected_output_tokens: call.max_output_tokens(),
            payload: call.request.payload.clone(),
        };
        call.step = Step::Running {
            attempt,
            target: target.clone(),
        };
        call.tried.insert(target.clone());
        self.router.on_sent(&target, call.work_tokens());
        self.attempts.insert(attempt, id);
        if let Some(live) = self.programs.get_mut(&call.request.program) {
            live.last_backend = Some(target.clone());
            live.holders.insert(target.clone());
        }
        out.push(EntryAction::Send {
            to: target,
            message: Message::Dispatch(Box::new(message)),
        });
    }

    fn on_reply(
        &mut self,
        now: TimeUs,
        attempt: AttemptId,
        part: AnswerPart,
        started: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match part {
            AnswerPart::Text { position, text } => {
                call.answer.push_str(&text);
                let reply_to = call.reply_to.clone();
                answer(&reply_to, id, AnswerPart::Text { position, text }, out);
            }
            AnswerPart::Plain(plain) => {
                let reply_to = call.reply_to.clone();
                answer(&reply_to, id, AnswerPart::Plain(plain), out);
            }
            AnswerPart::Done(done) => self.on_done(now, id, attempt, done, out),
            AnswerPart::Failed(error) => self.on_failed(now, id, attempt, error, started, out),
        }
    }

    fn leave_backend(&mut self, attempt: AttemptId, failed: bool) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Step::Running { target, .. } = &call.step {
            self.router.on_ended(target, call.work_tokens(), failed);
        }
    }

    fn on_done(
        &mut self,
        now: TimeUs,
        id: RequestId,
        attempt: AttemptId,
        done: CallDone,
        out: &mut Vec<EntryAction>,
    ) {
        self.leave_backend(attempt, false);
        self.settle(id, done.usage, 1);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Step::Running { target, .. } = &call.step {
            let message = Message::Committed { attempt };
            out.push(EntryAction::Send {
                to: target.clone(),
                message,
            });
        }
        call.step = Step::Record { since_us: now };
        call.done = Some(done);
        match self.write_turn(id) {
            Some(record) => {
                self.awaited.insert(record, Awaited::Turn(id));
            }
            None => self.finish(now, id, TurnState::NotKept, out),
        }
    }

    fn write_turn(&mut self, id: RequestId) -> Option<RecordId> {
        let call = self.calls.get(&id)?;
        let (done, program) = (call.done.as_ref()?, &call.request.program);
        let partition = self.partition_of(program);
        let entry = match &call.request.payload {
            Payload::Chat(_) if call.request.single_call => return None,
            Payload::Chat(chat) => {
                let state = self.partitions.program(partition, program)?;
                let messages = chat
                    .messages
                    .get(state.history.len()..)
                    .unwrap_or_default()
                    .to_vec();
                let answer = call.answer.clone();
                OwnedRecord::TurnAdded {
                    call: done.call.clone(),
                    before: state.chain,
                    after: chat.prompt.chain().extend(answer.as_bytes()),
                    messages,
                    answer,
                    usage: done.usage,
                }
            }
            Payload::Plain(_) if call.idempotent => return None,
            Payload::Plain(_) => OwnedRecord::CallEnded {
                call: done.call.clone(),
                outcome: crate::record::CallOutcome::Chat {
                    answer: String::new(),
                    usage: Usage::default(),
                },
            },
        };
        self.write_owned(partition, entry)
    }

    fn on_failed(
        &mut self,
        now: TimeUs,
        id: RequestId,
        attempt: AttemptId,
        error: CallError,
        started: bool,
        out: &mut Vec<EntryAction>,
    ) {
        self.leave_backend(attempt, started);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let max_attempts = call.in_force.document.retry.max_attempts as usize;
        let worth_it = matches!(
            error.kind,
            ErrorKind::NoBackend
                | ErrorKind::BackendFailed
                | ErrorKind::ShuttingDown
                | ErrorKind::NotReady
                | ErrorKind::Overloaded
        );
        let untouched = call.answer.is_empty() && (call.idempotent || !started);
        if worth_it && untouched && call.tried.len() < max_attempts && call.idempotent {
            let event = Event::new(EventKind::CallRetried).with("request", id);
            out.push(EntryAction::Event(event.with("error", &error)));
            self.step_route(now, id, out);
            return;
        }
        self.refuse(now, id, error, out);
    }

    /// Gives back what a call held and books what it used.
    fn settle(&mut self, id: RequestId, usage: Usage, calls: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(held) = call.held_tokens.take() else {
            return;
        };
        let program = &call.request.program;
        let partition = program.partition(self.settings.partition_count);
        if let Some(account) = self.partitions.account_mut(partition, program) {
            let tokens = usage.prompt_tokens + usage.output_tokens;
            account.settle(held, Amount { tokens, calls });
        }
    }

    fn finish(&mut self, now: TimeUs, id: RequestId, turn: TurnState, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(done) = call.done {
            answer(
                &call.reply_to,
                id,
                AnswerPart::Done(CallDone { turn, ..done }),
                out,
            );
        }
        let program = call.request.program;
        if let (Some(live), Some(seq)) = (self.programs.get_mut(&program), call.seq) {
            live.order.finish(seq);
            live.last_used_us = now;
        }
        if call.request.single_call {
            self.end_program(now, program, EndReason::SingleCall, out);
        } else {
            self.start_next(now, &program, out);
        }
    }

    fn refuse(&mut self, now: TimeUs, id: RequestId, error: CallError, out: &mut Vec<EntryAction>) {
        self.settle(id, Usage::default(), 0);
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let event = Event::new(EventKind::CallRefused)
            .with("request", id)
            .with("error", &error);
        out.push(EntryAction::Event(event));
        let not_run = error.kind.answer().not_run == crate::error::NotRun::Yes;
        answer(&call.reply_to, id, AnswerPart::Failed(error), out);
        let program = call.request.program;
        if let Some(live) = self.programs.get_mut(&program) {
            live.order.remove(id);
            match call.seq {
                Some(seq) if not_run => live.order.reopen(seq),
                Some(seq) => live.order.finish(seq),
                None => {}
            }
        }
        if call.request.single_call {
            self.end_program(now, program, EndReason::SingleCall, out);
        } else {
            self.start_next(now, &program, out);
        }
    }

    fn end_program(
        &mut self,
        now: TimeUs,
        program: ProgramId,
        reason: EndReason,
        out: &mut Vec<EntryAction>,
    ) {
        let partition = self.partition_of(&program);
        let Some(epoch) = self.own_epoch(partition) else {
            if let Some(owner) = self.partitions.owner(partition) {
                let message = Message::EndProgram { program };
                out.push(EntryAction::Send {
                    to: owner.vm.clone(),
                    message,
                });
            }
            return;
        };
        let Some(live) = self.programs.remove(&program) else {
            return;
        };
        let state = self.partitions.program(partition, &program);
        if state.is_some_and(|state| state.ended.is_none()) {
            let last = state
                .and_then(|state| state.next.0.checked_sub(1))
                .map(CallSeq);
            let entry = OwnedRecord::ProgramEnded {
                program: program.clone(),
                last,
                reason,
            };
            self.write_owned(partition, entry);
        }
        let waiting: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.request.program == program)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.on_gone(now, id, out);
        }
        let event = Event::new(EventKind::ProgramEnded).with("program", &program);
        out.push(EntryAction::Event(
            event.with("reason", format!("{reason:?}")),
        ));
        for vm in &live.holders {
            let message = Message::Release {
                program: program.clone(),
                partition,
                epoch,
            };
            out.push(EntryAction::Send {
                to: vm.clone(),
                message,
            });
        }
        if !live.holders.is_empty() {
            self.releasing.insert(program, live.holders);
        }
    }

    /// The caller is gone: what has not started is dropped, what runs is stopped if it may be.
    fn on_gone(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.step.clone() {
            Step::Forwarded(to) => {
                out.push(EntryAction::Send {
                    to,
                    message: Message::ForwardCancel { request: id },
                });
                self.calls.remove(&id);
            }
            Step::Running { attempt, target } if call.idempotent => {
                let message = Message::Cancel { attempt };
                out.push(EntryAction::Send {
                    to: target,
                    message,
                });
            }
            Step::Own | Step::Order | Step::Route => {
                let error = CallError::new(ErrorKind::DeadlineBeforeStart, "the caller is gone");
                self.refuse(now, id, error, out);
            }
            Step::Running { .. } | Step::Claim | Step::Record { .. } => {}
        }
    }

    fn on_message(
        &mut self,
        now: TimeUs,
        from: VmId,
        message: Message,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heard_us = now;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(&from, &heartbeat, out),
            Message::Forward { request, hops } => {
                self.on_request(now, *request, &ReplyTo::Entry(from), hops, out);
            }
            Message::ForwardReply { request, part } => self.on_forward_reply(request, part, out),
            Message::ForwardCancel { request } => self.on_gone(now, request, out),
            Message::EndProgram { program } => {
                self.end_program(now, program, EndReason::Caller, out);
            }
            Message::DispatchReply {
                attempt,
                part,
                started,
            } => {
                self.on_reply(now, attempt, part, started, out);
            }
            Message::Load(load) => self.router.on_load(now, &from, load),
            Message::Cache { first, events } => {
                if self.router.on_cache(&from, first, &events) {
                    let event = Event::new(EventKind::CacheEventGap).with("vm", &from);
                    out.push(EntryAction::Event(event));
                }
            }
            Message::Released { program, .. } => self.on_released(&program, &from),
            Message::Documents(_)
            | Message::Dispatch(_)
            | Message::Cancel { .. }
            | Message::Fence { .. }
            | Message::FenceReply { .. }
            | Message::Attach { .. }
            | Message::Committed { .. }
            | Message::Lease { .. }
            | Message::Release { .. }
            | Message::Order(_)
            | Message::OrderReply { .. } => {}
        }
    }

    fn on_released(&mut self, program: &ProgramId, from: &VmId) {
        if let Some(holders) = self.releasing.get_mut(program) {
            holders.remove(from);
            if holders.is_empty() {
                self.releasing.remove(program);
            }
        }
    }

    fn on_forward_reply(&mut self, id: RequestId, part: AnswerPart, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let reply_to = call.reply_to.clone();
        if part.is_last() {
            self.calls.remove(&id);
        }
        answer(&reply_to, id, part, out);
    }

    fn on_heartbeat(&mut self, from: &VmId, heartbeat: &Heartbeat, out: &mut Vec<EntryAction>) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.leaving = heartbeat.leaving;
        if peer.peer.role == VmRole::Sidecar {
            let listed = self
                .vms
                .get(from)
                .is_some_and(|vm| vm.state == VmState::Leaving);
            self.router.set_leaving(from, heartbeat.leaving || listed);
            let lacking = self.config.lacking(&heartbeat.revisions);
            if !lacking.is_empty() {
                let message = Message::Documents(lacking);
                out.push(EntryAction::Send {
                    to: from.clone(),
                    message,
                });
            }
        }
    }

    fn on_link_up(&mut self, now: TimeUs, peer: Peer, out: &mut Vec<EntryAction>) {
        let event = Event::new(EventKind::LinkUp).with("vm", &peer.vm);
        out.push(EntryAction::Event(
            event.with("incarnation", peer.incarnation),
        ));
        let vm = peer.vm.clone();
        if let Some(service) = peer.service.clone() {
            self.router.add(vm.clone(), service, peer.zone.clone());
        }
        self.peers.insert(
            vm.clone(),
            PeerState {
                peer,
                heard_us: now,
                leaving: false,
            },
        );
        out.push(EntryAction::Send {
            to: vm,
            message: Message::Heartbeat(self.heartbeat()),
        });
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            revisions: self.config.revisions(),
            config_offset: self.config_journal.position(),
            leaving: self.leaving,
        }
    }

    fn on_link_down(&mut self, now: TimeUs, vm: &VmId, out: &mut Vec<EntryAction>) {
        if self.peers.remove(vm).is_none() {
            return;
        }
        out.push(EntryAction::Event(
            Event::new(EventKind::LinkDown).with("vm", vm),
        ));
        self.router.remove(vm);
        let hit: Vec<(RequestId, Option<AttemptId>)> = self
            .calls
            .iter()
            .filter_map(|(id, call)| match &call.step {
                Step::Running { attempt, target } if target == vm => Some((*id, Some(*attempt))),
                Step::Forwarded(to) if to == vm => Some((*id, None)),
                _ => None,
            })
            .collect();
        for (id, attempt) in hit {
            let idempotent = self.calls.get(&id).is_some_and(|call| call.idempotent);
            let kind = if idempotent {
                ErrorKind::BackendFailed
            } else {
                ErrorKind::OutcomeUnknown
            };
            let error = CallError::new(kind, format!("the link to {vm} went down"));
            match attempt {
                Some(attempt) => self.on_failed(now, id, attempt, error, true, out),
                None => self.refuse(now, id, error, out),
            }
        }
    }

    fn on_vms(&mut self, vms: Vec<Vm>, out: &mut Vec<EntryAction>) {
        self.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        for (id, vm) in &self.vms {
            if vm.state == VmState::Leaving {
                self.router.set_leaving(id, true);
            }
        }
        let others = self.vms.values().filter(|vm| vm.id != self.settings.vm);
        out.push(EntryAction::Connect(others.cloned().collect()));
    }

    fn on_log_read(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        answer: Option<ReadAnswer>,
        out: &mut Vec<EntryAction>,
    ) {
        let was_ready = self.is_caught_up();
        let mut events = Vec::new();
        let fresh = self.journal_of(stream).on_read(now, answer, &mut events);
        out.extend(events.into_iter().map(EntryAction::Event));
        for (offset, record) in fresh {
            match stream {
                StreamName::Config => self.replay_config(offset, &record, out),
                StreamName::Journal => {
                    let applied = self.partitions.apply(offset, &record);
                    self.on_applied(now, &record, &applied, out);
                }
            }
        }
        if !was_ready && self.is_caught_up() {
            out.push(EntryAction::Event(Event::new(EventKind::ProcessReady)));
        }
    }

    fn replay_config(
        &mut self,
        offset: crate::ids::Offset,
        record: &Record,
        out: &mut Vec<EntryAction>,
    ) {
        let RecordBody::Publish {
            operation,
            service,
            base,
            document,
        } = &record.body
        else {
            return;
        };
        let verdict =
            self.config
                .publish(offset, &record.writer, *operation, service, *base, document);
        let event = match &verdict {
            Verdict::Accepted { revision } => {
                Event::new(EventKind::DocumentInForce).with("revision", revision)
            }
            Verdict::Outrun { .. } | Verdict::Wrong { .. } => {
                Event::new(EventKind::DocumentRejected).with("verdict", format!("{verdict:?}"))
            }
        };
        out.push(EntryAction::Event(
            event.with("service", service).with("operation", operation),
        ));
        // Sidecars learn at once rather than with the next heartbeat.
        for (vm, peer) in &self.peers {
            if peer.peer.role == VmRole::Sidecar
                && let Some(in_force) = self.config.service(service)
            {
                let message = Message::Documents(vec![in_force.published.clone()]);
                out.push(EntryAction::Send {
                    to: vm.clone(),
                    message,
                });
            }
        }
    }

    fn on_applied(
        &mut self,
        now: TimeUs,
        record: &Record,
        applied: &Applied,
        out: &mut Vec<EntryAction>,
    ) {
        let awaited = self.awaited.remove(&record.id);
        match (applied, awaited) {
            (Applied::Claimed(partition), awaited) => {
                self.on_claimed(now, *partition, awaited.is_some(), out);
            }
            (Applied::Outrun(partition), Some(_)) => self.retry_own(now, *partition, out),
            (Applied::Owned(_), Some(Awaited::Opened(program))) => {
                self.start_next(now, &program, out);
            }
            (Applied::Owned(_), Some(Awaited::Step(id))) => self.on_step_recorded(now, id, out),
            (Applied::Owned(_), Some(Awaited::Turn(id))) => {
                self.finish(now, id, TurnState::Committed, out);
            }
            (Applied::Stale(partition), Some(Awaited::Step(id) | Awaited::Turn(id))) => {
                let event = Event::new(EventKind::StaleRecord).with("partition", partition);
                out.push(EntryAction::Event(event));
                let error = CallError::new(ErrorKind::OwnerUnknown, "another entry has taken over");
                self.refuse(now, id, error, out);
            }
            _ => {}
        }
    }

    fn on_claimed(
        &mut self,
        now: TimeUs,
        partition: PartitionId,
        own: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let kind = if own {
            EventKind::PartitionOwned
        } else {
            EventKind::PartitionLost
        };
        if own {
            out.push(EntryAction::Event(
                Event::new(kind).with("partition", partition),
            ));
        } else {
            let count = self.settings.partition_count;
            self.programs
                .retain(|program, _| program.partition(count) != partition);
        }
        self.retry_own(now, partition, out);
    }

    fn retry_own(&mut self, now: TimeUs, partition: PartitionId, out: &mut Vec<EntryAction>) {
        let waiting: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, c)| {
                c.step == Step::Own && self.partition_of(&c.request.program) == partition
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.step_own(now, id, out);
        }
    }

    fn on_step_recorded(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match call.claimed.clone() {
            Some(target) => self.dispatch(now, id, target, out),
            None => self.step_budget(now, id, out),
        }
    }

    fn on_tick(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        if now >= self.next_heartbeat_us {
            self.next_heartbeat_us = now.after(self.settings.heartbeat_us);
            let heartbeat = self.heartbeat();
            for vm in self.peers.keys() {
                let message = Message::Heartbeat(heartbeat.clone());
                out.push(EntryAction::Send {
                    to: vm.clone(),
                    message,
                });
            }
            self.renew_leases(out);
        }
        self.drop_silent_peers(now, out);
        self.sweep_calls(now, out);
        self.sweep_programs(now, out);
        if self.leaving && self.calls.is_empty() && self.journal.unconfirmed() == 0 {
            out.push(EntryAction::Finished);
        }
    }

    fn renew_leases(&self, out: &mut Vec<EntryAction>) {
        let mut leases: BTreeMap<(&VmId, PartitionId), Vec<ProgramId>> = BTreeMap::new();
        for (program, live) in &self.programs {
            for vm in &live.holders {
                let key = (vm, self.partition_of(program));
                leases.entry(key).or_default().push(program.clone());
            }
        }
        for ((vm, partition), programs) in leases {
            let Some(epoch) = self.own_epoch(partition) else {
                continue;
            };
            let ttl_us = SpanUs::from_s(30);
            let message = Message::Lease {
                partition,
                epoch,
                programs,
                ttl_us,
            };
            out.push(EntryAction::Send {
                to: vm.clone(),
                message,
            });
        }
    }

    fn drop_silent_peers(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let timeout = self.settings.peer_timeout_us;
        let silent: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_us) >= timeout)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            self.on_link_down(now, &vm, out);
        }
    }

    fn sweep_calls(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let ids: Vec<RequestId> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let late = now >= call.deadline_us;
            match call.step.clone() {
                Step::Record { since_us }
                    if now.since(since_us) >= self.settings.commit_wait_us =>
                {
                    out.push(EntryAction::Event(Event::new(EventKind::TurnPending)));
                    self.finish(now, id, TurnState::Pending, out);
                }
                Step::Own if late => self.refuse_late(now, id, ErrorKind::OwnerUnknown, out),
                Step::Own => self.step_own(now, id, out),
                Step::Route if late => self.refuse_late(now, id, ErrorKind::NoBackend, out),
                Step::Route => self.step_route(now, id, out),
                Step::Order if late => {
                    self.refuse_late(now, id, ErrorKind::DeadlineBeforeStart, out);
                }
                Step::Claim if late => self.refuse_late(now, id, ErrorKind::LogUnavailable, out),
                Step::Order
                | Step::Claim
                | Step::Forwarded(_)
                | Step::Running { .. }
                | Step::Record { .. } => {}
            }
        }
    }

    fn refuse_late(
        &mut self,
        now: TimeUs,
        id: RequestId,
        kind: ErrorKind,
        out: &mut Vec<EntryAction>,
    ) {
        let error = CallError::new(kind, "the deadline passed before the call could start");
        self.refuse(now, id, error, out);
    }

    fn sweep_programs(&mut self, now: TimeUs, out: &mut Vec<EntryAction>) {
        let mut idle = Vec::new();
        let mut overdue = Vec::new();
        for (program, live) in &mut self.programs {
            let state = self
                .partitions
                .program(program.partition(self.settings.partition_count), program);
            let Some(state) = state else { continue };
            let Some(in_force) = self.config.service(&state.service) else {
                continue;
            };
            let rules = &in_force.document.program;
            overdue.extend(live.order.overdue(now, rules.gap_us));
            if live.order.is_idle() && now.since(live.last_used_us) >= rules.idle_us {
                idle.push(program.clone());
            }
        }
        for id in overdue {
            let error = CallError::new(
                ErrorKind::OutOfOrder,
                "an earlier call did not come in time",
            );
            self.refuse(now, id, error, out);
        }
        for program in idle {
            self.end_program(now, program, EndReason::Idle, out);
        }
    }

    /// Whether both streams have been read to their end once.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.config_journal.caught_up() && self.journal.caught_up()
    }

    /// Whether the balancer should send callers here.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.is_caught_up() && !self.leaving
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

    /// The whole state, for operators.
    #[must_use]
    pub fn dump(&self, now: TimeUs) -> Value {
        let owned: Vec<PartitionId> = self
            .partitions
            .iter()
            .map(|(partition, _)| partition)
            .filter(|partition| self.own_epoch(*partition).is_some())
            .collect();
        let calls: Vec<Value> = self
            .calls
            .iter()
            .map(|(id, call)| {
                json!({
                    "request": id, "program": call.request.program, "seq": call.seq,
                    "class": call.class, "step": format!("{:?}", call.step),
                    "deadline_left_ms": call.deadline_us.since(now).as_ms(),
                })
            })
            .collect();
        json!({
            "peer": self.peer(),
            "leaving": self.leaving,
            "caught_up": self.is_caught_up(),
            "log_down": self.journal.is_down() || self.config_journal.is_down(),
            "config_offset": self.config_journal.position(),
            "journal_offset": self.journal.position(),
            "unconfirmed_records": self.journal.unconfirmed(),
            "revisions": self.config.revisions(),
            "publications": self.config.publications(),
            "peers": self.peers.values().map(|p| &p.peer).collect::<Vec<_>>(),
            "owned_partitions": owned,
            "calls": calls,
            "programs": self.programs.keys().collect::<Vec<_>>(),
            "releasing": self.releasing,
        })
    }
}

/// Gives one part of an answer to whoever passed the request on.
fn answer(to: &ReplyTo, id: RequestId, part: AnswerPart, out: &mut Vec<EntryAction>) {
    out.push(match to {
        ReplyTo::Caller => EntryAction::Answer { request: id, part },
        ReplyTo::Entry(vm) => EntryAction::Send {
            to: vm.clone(),
            message: Message::ForwardReply { request: id, part },
        },
    });
}

/// The digest of a payload, to tell a repeat from another request.
fn digest(payload: &Payload) -> ChainHash {
    match payload {
        Payload::Chat(chat) => chat.prompt.chain(),
        Payload::Plain(call) => ChainHash::default()
            .extend(call.method.as_bytes())
            .extend(call.path.as_bytes())
            .extend(&call.body),
    }
}
