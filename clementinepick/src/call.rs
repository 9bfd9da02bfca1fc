//! A caller's request after parsing, and the parts of its answer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::CallError;
use crate::ids::{
    CallKey, CallSeq, ClassName, IdempotencyKey, ModelName, ProgramId, RequestId, ServiceName,
    ToolName,
};
use crate::prompt::{ChainHash, Prompt};
use crate::units::{SpanUs, Tokens};

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Drawn at the entry where the request came in.
    pub id: RequestId,
    /// The service that is called.
    pub service: ServiceName,
    /// The program; a request without one is a program of a single call.
    pub program: ProgramId,
    /// Whether the program was made for this one request and ends with it.
    pub single_call: bool,
    /// The call's place in the program; absent: the order of arrival at the owner.
    pub seq: Option<CallSeq>,
    /// The program whose sub-agent this program is.
    pub parent: Option<ProgramId>,
    /// The program at the root of the sub-agents, whose account is spent from and beside which
    /// this program is kept; absent: the parent.
    pub root: Option<ProgramId>,
    /// Whether a chat call brings only the messages that the history on record lacks.
    pub append: bool,
    /// The chain of the history that the caller builds on, as its last answer gave it.
    pub history_chain: Option<ChainHash>,
    /// The class; absent: the route's or the document's default.
    pub class: Option<ClassName>,
    /// The time left until the caller gives up.
    pub deadline_left_us: Option<SpanUs>,
    /// The token budget that the caller gives the program; the document may set less.
    pub budget_tokens: Option<Tokens>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The caller's word that the call may not run twice; the document may say so as well.
    pub non_idempotent: bool,
    /// The tool the program will call after this turn, where the caller says so.
    pub next_tool: Option<ToolName>,
    /// What is to be run.
    pub payload: Payload,
}

impl Request {
    /// The call's key, once its place is known.
    #[must_use]
    pub fn key(&self, seq: CallSeq) -> CallKey {
        CallKey {
            program: self.program.clone(),
            seq,
        }
    }

    /// The program by which the partition is chosen: a sub-agent lies with its root.
    #[must_use]
    pub fn root_program(&self) -> &ProgramId {
        self.root
            .as_ref()
            .or(self.parent.as_ref())
            .unwrap_or(&self.program)
    }
}

/// A caller asks for the answer of an earlier call, or for the rest of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Drawn at the entry where the request came in.
    pub id: RequestId,
    /// The program.
    pub program: ProgramId,
    /// The root of its sub-agents, where it is one; absent: the program itself.
    pub root: Option<ProgramId>,
    /// The call's place in the program.
    pub seq: CallSeq,
    /// The count of characters that the caller already has.
    pub position: u64,
}

/// What a call runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A turn of a model engine.
    Chat(ChatCall),
    /// A call of a plain service.
    Plain(PlainCall),
}

/// One message of a transcript.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text; the text parts joined where the caller sent parts.
    pub content: String,
    /// All other fields, passed on as they are.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

impl ChatMessage {
    /// A message of text only.
    #[must_use]
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: content.to_owned(),
            extra: BTreeMap::new(),
        }
    }
}

/// A turn of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatCall {
    /// The model asked for.
    pub model: ModelName,
    /// The transcript.
    pub messages: Vec<ChatMessage>,
    /// The shape of the transcript.
    pub prompt: Prompt,
    /// The most tokens to generate; absent: the class's limit.
    pub max_output_tokens: Option<Tokens>,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// All other fields of the body, passed on to the engine.
    pub extra: BTreeMap<String, Value>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path below the service, with its query.
    pub path: String,
    /// The headers that are passed on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed back, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What an engine counted for one turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The part of the prompt that came from the engine's cache.
    pub cached_tokens: Tokens,
    /// The tokens generated.
    pub output_tokens: Tokens,
}

/// Why an engine stopped generating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its turn.
    Stop,
    /// The limit of output tokens was reached.
    Length,
}

/// Whether a turn is on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnState {
    /// The turn is in the log.
    Committed,
    /// The turn is in the memory of the owner and the sidecar, and commits when the log returns.
    Pending,
    /// The call has no history to keep.
    NotKept,
}

/// The end of a call that was answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallDone {
    /// The call, so that the caller can ask for the answer again.
    pub call: CallKey,
    /// What the engine counted; zero for plain services.
    pub usage: Usage,
    /// Why the engine stopped; absent for plain services.
    pub finish: Option<FinishReason>,
    /// Whether the turn is on record.
    pub turn: TurnState,
    /// The chain of the program's history up to and with this turn, for callers that append.
    pub chain: Option<ChainHash>,
}

/// One part of an answer, in the order in which the caller gets them.
///
/// Exactly one of [`AnswerPart::Done`] and [`AnswerPart::Failed`] comes, and comes last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerPart {
    /// Text of a turn.
    Text {
        /// The count of characters of the answer before this text.
        position: u64,
        /// The text.
        text: String,
    },
    /// The answer of a plain service.
    Plain(PlainAnswer),
    /// The call is answered.
    Done(CallDone),
    /// The call failed.
    Failed(CallError),
}

impl AnswerPart {
    /// Whether no part follows this one.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Failed(_))
    }
}
