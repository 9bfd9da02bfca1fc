//! Validates parsed requests against the active document and creates their calls.

use std::collections::BTreeSet;

use crate::answer::send_part;
use crate::answer_text::AnswerText;
use crate::call::{AnswerPart, Payload, Request};
use crate::call_state::{Call, ReplyTo, Step};
use crate::config::ActiveDocument;
use crate::document::Document;
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::ClassName;
use crate::message::Message;
use crate::step_start::digest;
use crate::units::{TimeUs, Tokens};

impl Entry {
    pub(crate) fn on_request(
        &mut self,
        now: TimeUs,
        request: Request,
        reply_to: &ReplyTo,
        hops: u8,
        out: &mut Vec<EntryAction>,
    ) {
        let id = request.id;
        if self.calls.contains_key(&id) {
            self.on_duplicate_request(now, id, reply_to, out);
            return;
        }
        let call = match self.validate(now, request, reply_to, hops) {
            Ok(call) => call,
            Err(refused) => {
                send_part(reply_to, id, AnswerPart::Failed(refused), out);
                return;
            }
        };
        self.calls.insert(id, call);
        self.step_owner(now, id, out);
    }

    /// Handles a known request that arrives again over another path, after a link was lost.
    fn on_duplicate_request(
        &mut self,
        now: TimeUs,
        id: crate::ids::RequestId,
        reply_to: &ReplyTo,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // The entry that this one forwarded the request to has sent it back. Replying to it would
        // pass the response round in a loop, so the forward is cancelled and the owner is looked up
        // again.
        if let Step::Forwarded(to) = &call.step
            && *reply_to == ReplyTo::Entry(to.clone())
        {
            let to = to.clone();
            let message = Message::ForwardCancel { request: id };
            out.push(EntryAction::Send { to, message });
            call.step = Step::Own;
            self.step_owner(now, id, out);
            return;
        }
        if call.reply_to == ReplyTo::Caller {
            return;
        }
        call.reply_to = reply_to.clone();
        // Parts sent over the lost link may not have arrived; the receiver ignores duplicates.
        if let Some(plain) = call.plain.clone() {
            send_part(reply_to, id, AnswerPart::Plain(plain), out);
        }
        if !call.answer.is_empty() {
            let part = AnswerPart::Text {
                position: 0,
                text: call.answer.to_string(),
            };
            send_part(reply_to, id, part, out);
        }
        if let Some(plain) = call.plain.clone() {
            send_part(reply_to, id, AnswerPart::Plain(plain), out);
        }
    }

    fn validate(
        &self,
        now: TimeUs,
        request: Request,
        reply_to: &ReplyTo,
        hops: u8,
    ) -> Result<Call, CallError> {
        if !self.is_caught_up() {
            let detail = "this entry still reads the log";
            return Err(CallError::new(ErrorKind::NotReady, detail));
        }
        if self.leaving && *reply_to == ReplyTo::Caller {
            let detail = "this entry is shutting down";
            return Err(CallError::new(ErrorKind::ShuttingDown, detail));
        }
        let Some(active) = self.config.service(&request.service) else {
            let detail = format!("service `{}` has no document in force", request.service);
            return Err(CallError::in_field(
                ErrorKind::UnknownService,
                "service",
                detail,
            ));
        };
        let idempotent = is_idempotent(&active.document, &request)?;
        let class = resolve_class(active, &request);
        let Some(rules) = active.document.class(&class) else {
            let detail = format!(
                "the document of `{}` has no class `{class}`",
                request.service
            );
            let field = crate::http_request::CLASS_HEADER;
            return Err(CallError::in_field(ErrorKind::UnknownClass, field, detail));
        };
        let left_us = request
            .deadline_left_us
            .map_or(rules.deadline_us, |left| left.min(rules.deadline_us));
        Ok(Call {
            digest: digest(&request.payload),
            partition: self.partition_of(&request.program, request.root_program()),
            idempotent: idempotent && !request.non_idempotent,
            reply_to: reply_to.clone(),
            hops,
            step: Step::Own,
            deadline_us: now.after(left_us),
            class,
            active_document: active.clone(),
            seq: None,
            full_payload: None,
            held_tokens: None,
            recorded_start: None,
            tried: BTreeSet::new(),
            prefill_tokens: Tokens(0),
            may_have_run: false,
            resume_position: 0,
            answer: AnswerText::default(),
            plain: None,
            done: None,
            caller_left_us: None,
            request,
        })
    }
}

fn is_idempotent(document: &Document, request: &Request) -> Result<bool, CallError> {
    match &request.payload {
        Payload::Chat(chat) => {
            if !document.models.is_empty() && !document.models.contains(&chat.model) {
                let detail = format!("model `{}` is not served by this service", chat.model);
                return Err(CallError::in_field(
                    ErrorKind::UnknownModel,
                    "model",
                    detail,
                ));
            }
            Ok(true)
        }
        Payload::Plain(call) => Ok(document.is_idempotent(&call.method, &call.path)),
    }
}

fn resolve_class(active: &ActiveDocument, request: &Request) -> ClassName {
    let document = &active.document;
    let route_class = match &request.payload {
        Payload::Chat(_) => None,
        Payload::Plain(call) => document
            .route(&call.method, &call.path)
            .and_then(|route| route.class.clone()),
    };
    let class = request.class.clone().or(route_class);
    class.unwrap_or_else(|| document.default_class.clone())
}
