//! Checks a caller's transcript against the recorded history, or prepends the history to it.

use crate::call::{ChatCall, ChatMessage, Payload};
use crate::call_state::LiveProgram;
use crate::entry::Entry;
use crate::error::{CallError, ErrorKind};
use crate::ids::RequestId;
use crate::partition_replay::ProgramState;
use crate::prompt::{ChainHash, Prompt};

/// A program's transcript: its recorded turns and those that are being recorded.
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

/// Returns whether a transcript starts with the history.
///
/// Compares only role and text, as the hash chain does, since client libraries add empty fields to
/// the answers that they send back.
pub(crate) fn starts_with_history(transcript: &[ChatMessage], history: &[ChatMessage]) -> bool {
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

    /// Checks before a turn runs that it continues the program's history.
    ///
    /// Without the check, a caller with a diverged transcript or an owner that lacks turns would
    /// mix two conversations or answer from one with missing turns.
    ///
    /// # Errors
    ///
    /// `HistoryMismatch` if the transcript differs from the history, `HistoryNeeded` if the owner
    /// may lack turns.
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
        let may_lack_turns = self
            .programs
            .get(&program)
            .is_some_and(|l| l.may_have_unrecorded_turns);
        if call.request.append {
            check_chain(call.request.history_chain, &history, may_lack_turns)?;
            let full = prepend_history(chat, history);
            if let Some(call) = self.calls.get_mut(&id) {
                call.full_payload = Some(Payload::Chat(full));
            }
        } else if !starts_with_history(&chat.messages, &history.messages)
            && self.settings.safeguards.digest_check
        {
            let detail = format!(
                "the transcript does not start with the {} recorded messages",
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
    expected: Option<ChainHash>,
    history: &History,
    may_lack_turns: bool,
) -> Result<(), CallError> {
    let field = crate::http_request::HISTORY_CHAIN_HEADER;
    match expected {
        Some(expected) if expected == history.chain => Ok(()),
        None if !may_lack_turns => Ok(()),
        Some(_) if !may_lack_turns => {
            let detail = "the chain does not match that of the recorded history";
            Err(CallError::in_field(
                ErrorKind::HistoryMismatch,
                field,
                detail,
            ))
        }
        Some(_) | None => {
            let detail = "turns may be missing after a takeover: send the whole transcript";
            Err(CallError::in_field(ErrorKind::HistoryNeeded, field, detail))
        }
    }
}

fn prepend_history(chat: &ChatCall, history: History) -> ChatCall {
    let mut messages = history.messages;
    messages.extend(chat.messages.iter().cloned());
    ChatCall {
        prompt: Prompt::of_messages(&messages),
        messages,
        ..chat.clone()
    }
}
