//! Defines the parsed requests of callers and the parts of their answers.

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

/// A parsed request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The random identifier assigned by the entry that received the request.
    pub id: RequestId,
    /// The called service.
    pub service: ServiceName,
    /// The program; a request that names none gets a program of its own.
    pub program: ProgramId,
    /// Whether the program was created for this request and ends with it.
    pub single_call: bool,
    /// The call's sequence number in the program; if absent, the owner assigns it on arrival.
    pub seq: Option<CallSeq>,
    /// The parent program, if this program is a sub-agent.
    pub parent: Option<ProgramId>,
    /// The root program of a sub-agent, which provides its budget and its partition; if absent, the
    /// parent.
    pub root: Option<ProgramId>,
    /// Whether a chat call carries only the messages that follow the recorded history.
    pub append: bool,
    /// The chain hash of the history that the caller appends to, from its last answer.
    pub history_chain: Option<ChainHash>,
    /// The class; if absent, the default of the route or of the document.
    pub class: Option<ClassName>,
    /// The time left until the caller's deadline.
    pub deadline_left_us: Option<SpanUs>,
    /// The token budget that the caller sets for the program; the document may limit it further.
    pub budget_tokens: Option<Tokens>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller declares the call non-idempotent; the document may do so as well.
    pub non_idempotent: bool,
    /// The tool that the program will call after this turn, if the caller announces it.
    pub next_tool: Option<ToolName>,
    /// The content of the call.
    pub payload: Payload,
}

impl Request {
    /// Returns the key of the call at a sequence number.
    #[must_use]
    pub fn key(&self, seq: CallSeq) -> CallKey {
        CallKey {
            program: self.program.clone(),
            seq,
        }
    }

    /// Returns the program that determines the partition: for a sub-agent, its root.
    #[must_use]
    pub fn root_program(&self) -> &ProgramId {
        self.root
            .as_ref()
            .or(self.parent.as_ref())
            .unwrap_or(&self.program)
    }
}

/// A caller's request for the answer of an earlier call, or for the rest of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The random identifier assigned by the entry that received the request.
    pub id: RequestId,
    /// The program.
    pub program: ProgramId,
    /// The root program, if the program is a sub-agent; if absent, the program itself.
    pub root: Option<ProgramId>,
    /// The call's sequence number in the program.
    pub seq: CallSeq,
    /// The number of characters that the caller already has.
    pub position: u64,
}

/// The content of a call.
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
    /// The text; if the caller sent several text parts, these joined.
    pub content: String,
    /// All other fields, forwarded unchanged.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

impl ChatMessage {
    /// Creates a message without further fields.
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
    /// The requested model.
    pub model: ModelName,
    /// The transcript.
    pub messages: Vec<ChatMessage>,
    /// The segments of the transcript, by which cached prefixes are found.
    pub prompt: Prompt,
    /// The maximum number of tokens to generate; if absent, the limit of the class.
    pub max_output_tokens: Option<Tokens>,
    /// Whether the caller requests a streamed answer.
    pub stream: bool,
    /// All other fields of the body, forwarded to the engine.
    pub extra: BTreeMap<String, Value>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path below the service, including the query.
    pub path: String,
    /// The forwarded headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The returned headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The token counts of one turn, as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The part of the prompt that was served from the engine's cache.
    pub cached_tokens: Tokens,
    /// The generated tokens.
    pub output_tokens: Tokens,
}

/// Why an engine stopped generating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its turn.
    Stop,
    /// The limit on output tokens was reached.
    Length,
}

/// Whether a turn is recorded in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnState {
    /// The turn is in the log.
    Committed,
    /// The turn is held in memory by the owner and the sidecar until the log accepts its record.
    Pending,
    /// The call belongs to no history, and no turn is recorded.
    NotKept,
}

/// The final part of a successful answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallDone {
    /// The key by which the caller can fetch the answer again.
    pub call: CallKey,
    /// The engine's token counts; zero for plain services.
    pub usage: Usage,
    /// Why the engine stopped; absent for plain services.
    pub finish: Option<FinishReason>,
    /// Whether the turn is recorded in the log.
    pub turn: TurnState,
    /// The chain hash of the program's history including this turn, for callers that append.
    pub chain: Option<ChainHash>,
}

/// One part of an answer.
///
/// The last part, and only the last, is [`AnswerPart::Done`] or [`AnswerPart::Failed`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerPart {
    /// Text of a turn.
    Text {
        /// The number of characters of the answer before this text.
        position: u64,
        /// The text.
        text: String,
    },
    /// The answer of a plain service.
    Plain(PlainAnswer),
    /// The call succeeded.
    Done(CallDone),
    /// The call failed.
    Failed(CallError),
}

impl AnswerPart {
    /// Returns whether this is the last part of the answer.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Done(_) | Self::Failed(_))
    }
}
