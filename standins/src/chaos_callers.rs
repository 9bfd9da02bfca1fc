//! The callers of a chaos run: programs whose turns depend on one another, and seat holds that may
//! not run twice.

use clementinepick::call::{AnswerPart, ChatCall, ChatMessage, Payload, PlainCall, Request};
use clementinepick::error::{CallError, NotRun};
use clementinepick::ids::{CallSeq, IdempotencyKey, ProgramId, RequestId, ServiceName, VmId};
use clementinepick::prompt::Prompt;
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::chaos_checks::BodyId;

/// The service of model engines in a run.
pub const ENGINE_SERVICE: &str = "agent-llm";
/// The plain service in a run.
pub const PLAIN_SERVICE: &str = "book-app";
/// The model in a run.
pub const MODEL: &str = "booking";
/// The deadline that callers set.
pub const DEADLINE_US: SpanUs = SpanUs::from_s(20);
/// The wait before a caller repeats a call whose answer names no time.
const REPEAT_AFTER_US: SpanUs = SpanUs::from_ms(300);
/// Repeats of one call after which its caller gives up.
const MAX_REPEATS: u32 = 40;
/// The most tokens that a turn asks for.
const MAX_OUTPUT_TOKENS: u64 = 24;

/// One call of a program's script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A turn of the engine.
    Chat,
    /// A seat hold: non-idempotent.
    Hold,
}

/// A request that waits for its answer.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The request.
    pub id: RequestId,
    /// The entry it was sent to.
    pub entry: VmId,
    /// The text that has come.
    pub text: String,
    /// Whether a plain answer has come.
    pub plain: Option<Vec<u8>>,
    /// When it was sent.
    pub sent_us: TimeUs,
}

/// What a caller does after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing yet.
    Wait,
    /// Sends its next call, or the same again, after a pause.
    SendAfter(SpanUs),
    /// Ends its program.
    End,
}

/// How a program ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramOutcome {
    /// Every call was answered.
    Finished,
    /// A call was refused, and the caller believed it.
    Refused,
    /// The outcome of a call is unknown, and the caller was told so.
    Unknown,
}

/// A program and the caller that drives it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The program.
    pub program: ProgramId,
    /// Its token budget.
    pub budget: Tokens,
    script: Vec<CallKind>,
    /// The call at which it is.
    pub call_index: usize,
    /// The transcript so far.
    pub transcript: Vec<ChatMessage>,
    /// The request that is open.
    pub pending: Option<PendingRequest>,
    repeats: u32,
    /// How it ended.
    pub outcome: Option<ProgramOutcome>,
    /// The last refusal.
    pub last_error: Option<CallError>,
    body_base: BodyId,
}

/// Bodies of one program start at a multiple of this.
const BODIES_PER_PROGRAM: BodyId = 1_000;

impl Caller {
    /// A program with a script drawn at random.
    ///
    /// # Panics
    ///
    /// Never: a number makes a name.
    #[must_use]
    pub fn draw(number: u64, rng: &mut ChaCha12Rng) -> Self {
        let turns = rng.random_range(1..=7);
        let script = (0..turns)
            .map(|_| {
                if rng.random_bool(0.4) {
                    CallKind::Hold
                } else {
                    CallKind::Chat
                }
            })
            .collect();
        let tight = rng.random_bool(0.1);
        Self {
            program: format!("p{number}").parse().expect("a name"),
            budget: Tokens(if tight {
                rng.random_range(40..400)
            } else {
                100_000
            }),
            script,
            call_index: 0,
            transcript: vec![ChatMessage::new("system", "You plan night-sky visits.")],
            pending: None,
            repeats: 0,
            outcome: None,
            last_error: None,
            body_base: number * BODIES_PER_PROGRAM,
        }
    }

    /// The turn at which it is.
    #[must_use]
    pub fn call_kind(&self) -> CallKind {
        self.script[self.call_index]
    }

    /// The body of the call at which it is; repeats carry the same.
    #[must_use]
    pub fn body(&self) -> BodyId {
        self.body_base + self.call_index as BodyId
    }

    fn key(&self) -> IdempotencyKey {
        format!("key-{}", self.body()).parse().expect("a name")
    }

    /// The request for the call at which it is.
    #[must_use]
    pub fn request(&self, id: RequestId) -> Request {
        let (service, payload, non_idempotent) = match self.call_kind() {
            CallKind::Chat => (ENGINE_SERVICE, self.chat(), false),
            CallKind::Hold => (PLAIN_SERVICE, self.hold(), true),
        };
        Request {
            id,
            service: service_name(service),
            program: self.program.clone(),
            single_call: false,
            seq: Some(CallSeq(self.call_index as u64)),
            parent: None,
            root: None,
            append: false,
            history_chain: None,
            class: None,
            deadline_left_us: Some(DEADLINE_US),
            budget_tokens: Some(self.budget),
            idempotency_key: Some(self.key()),
            non_idempotent,
            next_tool: None,
            payload,
        }
    }

    /// The transcript that the call at which it is sends.
    #[must_use]
    pub fn messages(&self) -> Vec<ChatMessage> {
        let mut messages = self.transcript.clone();
        messages.push(ChatMessage::new("user", &format!("body {}", self.body())));
        messages
    }

    fn chat(&self) -> Payload {
        let messages = self.messages();
        Payload::Chat(ChatCall {
            model: MODEL.parse().expect("a name"),
            prompt: Prompt::of_messages(&messages),
            messages,
            max_output_tokens: Some(Tokens(4 + self.body() % MAX_OUTPUT_TOKENS)),
            stream: true,
            extra: std::collections::BTreeMap::new(),
        })
    }

    fn hold(&self) -> Payload {
        Payload::Plain(PlainCall {
            method: "POST".to_owned(),
            path: "/holds".to_owned(),
            headers: Vec::new(),
            body: crate::chaos_backend::hold_json(self.body()),
        })
    }

    /// Takes the end of the answer to a chat turn or a hold.
    pub fn on_completed(&mut self, think_us: SpanUs) -> NextAction {
        let Some(pending) = self.pending.take() else {
            return NextAction::Wait;
        };
        if self.call_kind() == CallKind::Chat {
            self.transcript = self.messages();
            self.transcript
                .push(ChatMessage::new("assistant", &pending.text));
        }
        self.repeats = 0;
        self.call_index += 1;
        if self.call_index < self.script.len() {
            return NextAction::SendAfter(think_us);
        }
        self.outcome = Some(ProgramOutcome::Finished);
        NextAction::End
    }

    /// Whether the call at which it is was sent only once.
    #[must_use]
    pub const fn was_sent_once(&self) -> bool {
        self.repeats <= 1
    }

    /// Takes a refusal; `patient` callers come back when they may.
    pub fn on_failed(&mut self, error: &CallError, patient: bool) -> NextAction {
        self.pending = None;
        self.last_error = Some(error.clone());
        let answer = error.kind.response();
        self.repeats += 1;
        let after = error.retry_after_us.unwrap_or(REPEAT_AFTER_US);
        let worth_it = answer.repeat_safe && answer.retry_after_s.is_some();
        if worth_it && patient && self.repeats < MAX_REPEATS {
            return NextAction::SendAfter(after.max(REPEAT_AFTER_US));
        }
        let unknown = answer.not_run == NotRun::Unknown;
        self.outcome = Some(if unknown {
            ProgramOutcome::Unknown
        } else {
            ProgramOutcome::Refused
        });
        NextAction::End
    }

    /// The connection to the entry broke: sends the same call again, under its key and place.
    pub fn on_disconnected(&mut self) -> NextAction {
        self.pending = None;
        self.repeats += 1;
        if self.repeats < MAX_REPEATS {
            return NextAction::SendAfter(REPEAT_AFTER_US);
        }
        self.outcome = Some(ProgramOutcome::Unknown);
        NextAction::End
    }
}

/// The program that a body belongs to.
///
/// # Panics
///
/// Never: a number makes a name.
#[must_use]
pub fn body_program(body: BodyId) -> ProgramId {
    format!("p{}", body / BODIES_PER_PROGRAM)
        .parse()
        .expect("a name")
}

/// The place of the call that a body belongs to.
#[must_use]
pub const fn body_seq(body: BodyId) -> CallSeq {
    CallSeq(body % BODIES_PER_PROGRAM)
}

/// The name of a service that the run knows.
///
/// # Panics
///
/// When `name` is no name.
#[must_use]
pub fn service_name(name: &str) -> ServiceName {
    name.parse().expect("a name")
}

/// Adds one part of an answer; says what is wrong with it, if anything is.
pub fn apply_part(pending: &mut PendingRequest, part: &AnswerPart) -> Option<String> {
    match part {
        AnswerPart::Text { position, text } => {
            let known = pending.text.chars().count() as u64;
            if *position != known {
                return Some(format!(
                    "text at {position}, but {known} characters have come"
                ));
            }
            pending.text.push_str(text);
        }
        AnswerPart::Plain(answer) => {
            if pending.plain.is_some() {
                return Some("a second plain answer".to_owned());
            }
            pending.plain = Some(answer.body.clone());
        }
        AnswerPart::Done(_) | AnswerPart::Failed(_) => {}
    }
    None
}
