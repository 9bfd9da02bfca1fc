//! Simulates the callers of a chaos run.
//!
//! Each runs a program of turns, which depend on one another, and of seat holds, which must not be
//! executed twice.

use clementinepick::call::{AnswerPart, ChatCall, ChatMessage, Payload, PlainCall, Request};
use clementinepick::error::{CallError, NotRun};
use clementinepick::ids::{CallSeq, IdempotencyKey, ProgramId, RequestId, ServiceName, VmId};
use clementinepick::prompt::Prompt;
use clementinepick::units::{SpanUs, TimeUs, Tokens};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::chaos_checks::BodyId;

/// The name of the engine service.
pub const ENGINE_SERVICE: &str = "agent-llm";
/// The name of the plain service.
pub const PLAIN_SERVICE: &str = "book-app";
/// The name of the model.
pub const MODEL: &str = "booking";
/// The deadline of each call.
pub const DEADLINE_US: SpanUs = SpanUs::from_s(20);
/// The least time before a caller retries a call.
const MIN_RETRY_DELAY_US: SpanUs = SpanUs::from_ms(300);
/// The failed tries of one call after which its caller gives up.
const MAX_TRIES: u32 = 40;
/// The number of different output limits that turns ask for.
const OUTPUT_LIMIT_COUNT: u64 = 24;

/// The kind of a call in a program's script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A turn of the engine service.
    Chat,
    /// A seat hold, which is non-idempotent.
    Hold,
}

/// A request that awaits its response.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The request id.
    pub id: RequestId,
    /// The entry that it was sent to.
    pub entry: VmId,
    /// The text received so far.
    pub text: String,
    /// The body of the plain response, once received.
    pub plain: Option<Vec<u8>>,
    /// The time at which it was sent.
    pub sent_us: TimeUs,
}

/// What a caller does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Waits for more.
    Wait,
    /// Sends the current call after a delay.
    SendAfter(SpanUs),
    /// Ends the program.
    End,
}

/// The outcome of a program, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramOutcome {
    /// Every call completed.
    Finished,
    /// A call was refused or failed, and its outcome is known.
    Refused,
    /// It is unknown whether a call has run.
    Unknown,
}

/// A program and the caller that drives it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The id of the program.
    pub program: ProgramId,
    /// The program's token budget.
    pub budget: Tokens,
    script: Vec<CallKind>,
    /// The index of the current call in the script.
    pub call_index: usize,
    /// The messages of all completed turns.
    pub transcript: Vec<ChatMessage>,
    /// The request in progress, if any.
    pub pending: Option<PendingRequest>,
    failed_tries: u32,
    /// The outcome, once the program has ended.
    pub outcome: Option<ProgramOutcome>,
    /// The last error of a call.
    pub last_error: Option<CallError>,
    first_body: BodyId,
}

/// The range of body ids that each program has for its calls.
const BODIES_PER_PROGRAM: BodyId = 1_000;

impl Caller {
    /// Draws a program with a random script and budget.
    ///
    /// # Panics
    ///
    /// Never panics, as any number makes a valid name.
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
        let has_small_budget = rng.random_bool(0.1);
        Self {
            program: format!("p{number}").parse().expect("a valid name"),
            budget: Tokens(if has_small_budget {
                rng.random_range(40..400)
            } else {
                100_000
            }),
            script,
            call_index: 0,
            transcript: vec![ChatMessage::new("system", "You plan night-sky visits.")],
            pending: None,
            failed_tries: 0,
            outcome: None,
            last_error: None,
            first_body: number * BODIES_PER_PROGRAM,
        }
    }

    /// Returns the kind of the current call.
    #[must_use]
    pub fn call_kind(&self) -> CallKind {
        self.script[self.call_index]
    }

    /// Returns the body id of the current call, which its retries share.
    #[must_use]
    pub fn body(&self) -> BodyId {
        self.first_body + self.call_index as BodyId
    }

    fn key(&self) -> IdempotencyKey {
        format!("key-{}", self.body())
            .parse()
            .expect("a valid name")
    }

    /// Returns a request for the current call.
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

    /// Returns the messages that the current call sends.
    #[must_use]
    pub fn messages(&self) -> Vec<ChatMessage> {
        let mut messages = self.transcript.clone();
        messages.push(ChatMessage::new("user", &format!("body {}", self.body())));
        messages
    }

    fn chat(&self) -> Payload {
        let messages = self.messages();
        Payload::Chat(ChatCall {
            model: MODEL.parse().expect("a valid name"),
            prompt: Prompt::of_messages(&messages),
            messages,
            max_output_tokens: Some(Tokens(4 + self.body() % OUTPUT_LIMIT_COUNT)),
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

    /// Handles the end of a complete response.
    pub fn on_completed(&mut self, think_us: SpanUs) -> NextAction {
        let Some(pending) = self.pending.take() else {
            return NextAction::Wait;
        };
        if self.call_kind() == CallKind::Chat {
            self.transcript = self.messages();
            self.transcript
                .push(ChatMessage::new("assistant", &pending.text));
        }
        self.failed_tries = 0;
        self.call_index += 1;
        if self.call_index < self.script.len() {
            return NextAction::SendAfter(think_us);
        }
        self.outcome = Some(ProgramOutcome::Finished);
        NextAction::End
    }

    /// Returns whether the current call, which has just failed, was sent only once.
    #[must_use]
    pub const fn was_sent_once(&self) -> bool {
        self.failed_tries <= 1
    }

    /// Handles an error of the current call; only a `persistent` caller retries it.
    pub fn on_failed(&mut self, error: &CallError, persistent: bool) -> NextAction {
        self.pending = None;
        self.last_error = Some(error.clone());
        let response = error.kind.response();
        self.failed_tries += 1;
        let after = error.retry_after_us.unwrap_or(MIN_RETRY_DELAY_US);
        let may_retry = response.repeat_safe && response.retry_after_s.is_some();
        if may_retry && persistent && self.failed_tries < MAX_TRIES {
            return NextAction::SendAfter(after.max(MIN_RETRY_DELAY_US));
        }
        let is_unknown = response.not_run == NotRun::Unknown;
        self.outcome = Some(if is_unknown {
            ProgramOutcome::Unknown
        } else {
            ProgramOutcome::Refused
        });
        NextAction::End
    }

    /// Handles the loss of the connection to the entry by retrying the call with the same
    /// idempotency key and sequence number.
    pub fn on_disconnected(&mut self) -> NextAction {
        self.pending = None;
        self.failed_tries += 1;
        if self.failed_tries < MAX_TRIES {
            return NextAction::SendAfter(MIN_RETRY_DELAY_US);
        }
        self.outcome = Some(ProgramOutcome::Unknown);
        NextAction::End
    }
}

/// Returns the program that a body belongs to.
///
/// # Panics
///
/// Never panics, as any number makes a valid name.
#[must_use]
pub fn body_program(body: BodyId) -> ProgramId {
    format!("p{}", body / BODIES_PER_PROGRAM)
        .parse()
        .expect("a valid name")
}

/// Returns the sequence number of the call that a body belongs to.
#[must_use]
pub const fn body_seq(body: BodyId) -> CallSeq {
    CallSeq(body % BODIES_PER_PROGRAM)
}

/// Parses the name of a service.
///
/// # Panics
///
/// Panics if `name` is not a valid name.
#[must_use]
pub fn service_name(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

/// Adds one part of a response; returns a description of what is wrong with it, if anything is.
pub fn apply_part(pending: &mut PendingRequest, part: &AnswerPart) -> Option<String> {
    match part {
        AnswerPart::Text { position, text } => {
            let known = pending.text.chars().count() as u64;
            if *position != known {
                return Some(format!(
                    "text at position {position}, but {known} characters were received"
                ));
            }
            pending.text.push_str(text);
        }
        AnswerPart::Plain(answer) => {
            if pending.plain.is_some() {
                return Some("second plain response".to_owned());
            }
            pending.plain = Some(answer.body.clone());
        }
        AnswerPart::Done(_) | AnswerPart::Failed(_) => {}
    }
    None
}
