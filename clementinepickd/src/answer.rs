//! Delivers the parts of an answer to its caller in order, without duplicates or gaps, and reports
//! when the caller disconnects.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use clementinepick::call::{AnswerPart, CallDone, PlainAnswer};
use clementinepick::error::{CallError, ErrorKind};
use clementinepick::ids::RequestId;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::answer_queue::AnswerReader;
use crate::response_body::{ChatResponseTemplate, error_event};

/// The parts of one answer, as read by its caller.
///
/// Dropped before the last part, it reports to the control thread that the caller has disconnected.
pub(crate) struct AnswerStream {
    request: RequestId,
    parts: AnswerReader,
    disconnects: mpsc::UnboundedSender<RequestId>,
    /// Number of characters of text returned so far.
    position: u64,
    complete: bool,
    _permit: OwnedSemaphorePermit,
}

impl AnswerStream {
    /// Creates the answer to `request` from `parts`, starting at the character at `position`.
    pub(crate) fn new(
        request: RequestId,
        parts: AnswerReader,
        disconnects: mpsc::UnboundedSender<RequestId>,
        position: u64,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            request,
            parts,
            disconnects,
            position,
            complete: false,
            _permit: permit,
        }
    }

    /// Waits for the next part; returns `Failed` if the queue closes before the last part.
    pub(crate) async fn next(&mut self) -> AnswerPart {
        std::future::poll_fn(|cx| self.poll_part(cx)).await
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<AnswerPart> {
        loop {
            let part = match self.parts.poll_part(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(part)) => part,
                Poll::Ready(None) => AnswerPart::Failed(truncated()),
            };
            if let Some(part) = self.trim_delivered(part) {
                self.complete |= part.is_last();
                return Poll::Ready(part);
            }
        }
    }

    /// Removes text that was already returned, and fails on a gap.
    ///
    /// After a retry or a takeover the same text may arrive twice. With a gap, the caller would
    /// mistake an incomplete answer for a complete one.
    fn trim_delivered(&mut self, part: AnswerPart) -> Option<AnswerPart> {
        let AnswerPart::Text { position, text } = part else {
            return Some(part);
        };
        let Some(delivered_chars) = self.position.checked_sub(position) else {
            let detail = "text is missing from the middle of the answer";
            return Some(AnswerPart::Failed(CallError::new(
                ErrorKind::Internal,
                detail,
            )));
        };
        let skipped = usize::try_from(delivered_chars).unwrap_or(usize::MAX);
        let text: String = text.chars().skip(skipped).collect();
        if text.is_empty() {
            return None;
        }
        let position = self.position;
        self.position += text.chars().count() as u64;
        Some(AnswerPart::Text { position, text })
    }

    /// Reads the answer to its end.
    pub(crate) async fn collect(&mut self) -> Result<CompleteAnswer, CallError> {
        let first = self.next().await;
        self.collect_from(first).await
    }

    /// Reads an answer to its end, given its first part.
    pub(crate) async fn collect_from(
        &mut self,
        first: AnswerPart,
    ) -> Result<CompleteAnswer, CallError> {
        let mut text = String::new();
        let mut plain = None;
        let mut part = first;
        loop {
            match part {
                AnswerPart::Text { text: more, .. } => text += &more,
                AnswerPart::Plain(answer) => plain = Some(answer),
                AnswerPart::Failed(error) => return Err(error),
                AnswerPart::Done(done) => {
                    return Ok(match plain {
                        Some(answer) => CompleteAnswer::Plain(answer, done),
                        None => CompleteAnswer::Turn(text, done),
                    });
                }
            }
            part = self.next().await;
        }
    }
}

/// A complete answer.
pub(crate) enum CompleteAnswer {
    /// The text of a turn.
    Turn(String, CallDone),
    /// The response of a plain service.
    Plain(PlainAnswer, CallDone),
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.complete {
            let _ = self.disconnects.send(self.request);
        }
    }
}

/// Returns the error for parts that end without a last one: the process is shutting down, or the
/// caller read too slowly.
fn truncated() -> CallError {
    CallError::new(
        ErrorKind::OutcomeUnknown,
        "the answer ended before it was complete",
    )
}

fn unexpected_plain_answer() -> CallError {
    CallError::new(
        ErrorKind::Internal,
        "a plain service responded to a chat call",
    )
}

/// A response body that streams a turn as server-sent events.
///
/// `[DONE]` is sent only after a complete answer; otherwise the last event is the error.
pub(crate) struct EventStream {
    answer: AnswerStream,
    template: ChatResponseTemplate,
    /// The part that was read in order to choose the response's status.
    first: Option<AnswerPart>,
    stage: StreamStage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamStage {
    Opening,
    Open,
    Ended,
}

impl EventStream {
    /// Creates a stream whose first part is `first`.
    pub(crate) const fn new(
        answer: AnswerStream,
        template: ChatResponseTemplate,
        first: AnswerPart,
    ) -> Self {
        Self {
            answer,
            template,
            first: Some(first),
            stage: StreamStage::Opening,
        }
    }

    fn next_events(&mut self, part: &AnswerPart) -> String {
        match part {
            AnswerPart::Text { text, .. } => self.template.text_event(text),
            AnswerPart::Done(done) => {
                self.stage = StreamStage::Ended;
                self.template.final_events(done)
            }
            AnswerPart::Failed(error) => {
                self.stage = StreamStage::Ended;
                error_event(error)
            }
            AnswerPart::Plain(_) => {
                self.stage = StreamStage::Ended;
                error_event(&unexpected_plain_answer())
            }
        }
    }
}

impl MessageBody for EventStream {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let this = &mut *self;
        match this.stage {
            StreamStage::Opening => {
                this.stage = StreamStage::Open;
                return Poll::Ready(Some(Ok(this.template.first_event().into())));
            }
            StreamStage::Open => {}
            StreamStage::Ended => return Poll::Ready(None),
        }
        let part = match this.first.take() {
            Some(part) => part,
            None => match this.answer.poll_part(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(part) => part,
            },
        };
        Poll::Ready(Some(Ok(this.next_events(&part).into())))
    }
}
