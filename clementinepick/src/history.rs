//! Checks a caller's transcript against the history, and puts the stored turns before new ones.

use crate::call::{ChatCall, ChatMessage, Payload};
use crate::call_state::LiveProgram;
use crate::entry::Entry;
use crate::error::{CallError, ErrorKind};
use crate::ids::RequestId;
use crate::partition_replay::ProgramState;
use crate::prompt::{ChainHash, Prompt};

/// A program's transcript: the turns on record and those on their way there.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct History {
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) chain: ChainHash,
}

impl History {
    pub(crate) fn of(state: &ProgramState, live: &LiveProgram) -> Self {
        let mut messages = state.history.clone();
        for turn in &live.pending_turns {
            messages.extend(turn.messages.iter().cloned());
            messages.push(ChatMessage::new("assistant", &turn.answer));
        }
        let chain = live
            .pending_turns
            .last()
            .map_or(state.chain, |turn| turn.after);
        Self { messages, chain }
    }
}

/// Whether a transcript begins with the history.
///
/// Only role and text count, as in the chain: client libraries add empty fields to answers that
/// they send back.
pub(crate) fn begins_with(transcript: &[ChatMessage], history: &[ChatMessage]) -> bool {
    let same = |a: &ChatMessage, b: &ChatMessage| a.role == b.role && a.content == b.content;
    transcript.len() >= history.len() && transcript.iter().zip(history).all(|(a, b)| same(a, b))
}

impl Entry {
    pub(crate) fn history_of(&self, id: RequestId) -> Option<History> {
        let call = self.calls.get(&id)?;
        let program = &call.request.program;
        let state = self.partitions.program(call.partition, program)?;
        Some(History::of(state, self.programs.get(program)?))
    }

    /// Makes sure that a turn follows on the program's history, before it runs.
    ///
    /// A caller whose transcript went astray, or an owner that lacks turns, would otherwise mix
    /// two conversations or answer from one with a hole.
    pub(crate) fn check_history(&mut self, id: RequestId) -> Result<(), CallError> {
        let history = self.history_of(id);
        let Some(call) = self.calls.get(&id).filter(|call| call.records_turn()) else {
            return Ok(());
        };
        let Payload::Chat(chat) = &call.request.payload else {
            return Ok(());
        };
        let history = history.unwrap_or_default();
        let program = call.request.program.clone();
        let uncertain = self
            .programs
            .get(&program)
            .is_some_and(|l| l.may_have_unrecorded_turns);
        if call.request.append {
            check_chain(call.request.history_chain, &history, uncertain)?;
            let full = with_history(chat, history);
            if let Some(call) = self.calls.get_mut(&id) {
                call.full_payload = Some(Payload::Chat(full));
            }
        } else if !begins_with(&chat.messages, &history.messages)
            && self.settings.safeguards.digest_check
        {
            let detail = format!(
                "the transcript does not begin with the {} messages on record",
                history.messages.len()
            );
            return Err(CallError::in_field(
                ErrorKind::HistoryMismatch,
                "messages",
                detail,
            ));
        }
        if let Some(live) = self.programs.get_mut(&program) {
            live.may_have_unrecorded_turns = false;
        }
        Ok(())
    }
}

fn check_chain(
    seen: Option<ChainHash>,
    history: &History,
    uncertain: bool,
) -> Result<(), CallError> {
    let field = crate::http_request::HISTORY_CHAIN_HEADER;
    match seen {
        Some(seen) if seen == history.chain => Ok(()),
        None if !uncertain => Ok(()),
        Some(_) if !uncertain => {
            let detail = "the history on record has another chain";
            Err(CallError::in_field(
                ErrorKind::HistoryMismatch,
                field,
                detail,
            ))
        }
        Some(_) | None => {
            let detail = "turns may be missing after a take-over: send the whole transcript";
            Err(CallError::in_field(ErrorKind::HistoryNeeded, field, detail))
        }
    }
}

fn with_history(chat: &ChatCall, history: History) -> ChatCall {
    let mut messages = history.messages;
    messages.extend(chat.messages.iter().cloned());
    ChatCall {
        prompt: Prompt::of_messages(&messages),
        messages,
        ..chat.clone()
    }
}
