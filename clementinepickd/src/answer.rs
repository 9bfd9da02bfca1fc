//! A caller's answer on its way out: the parts that arrive, in order and complete, and the news
//! that the caller is gone.

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

/// The parts of one answer, and the caller's hold on it.
///
/// Dropped before the last part, it tells the control thread that the caller is gone.
pub(crate) struct Answer {
    request: RequestId,
    parts: AnswerReader,
    gone: mpsc::UnboundedSender<RequestId>,
    /// The characters of text so far.
    position: u64,
    complete: bool,
    _permit: OwnedSemaphorePermit,
}

impl Answer {
    /// The answer to `request`, whose parts come over `parts`, from the character at `position` on.
    pub(crate) fn new(
        request: RequestId,
        parts: AnswerReader,
        gone: mpsc::UnboundedSender<RequestId>,
        position: u64,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            request,
            parts,
            gone,
            position,
            complete: false,
            _permit: permit,
        }
    }

    /// Waits for the next part.
    pub(crate) async fn next(&mut self) -> AnswerPart {
        std::future::poll_fn(|cx| self.poll_part(cx)).await
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<AnswerPart> {
        loop {
            let part = match self.parts.poll_part(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(part)) => part,
                Poll::Ready(None) => AnswerPart::Failed(broken_off()),
            };
            if let Some(part) = self.check(part) {
                self.complete |= part.is_last();
                return Poll::Ready(part);
            }
        }
    }

    /// Leaves out text that was sent already, and refuses to go on after a hole.
    ///
    /// After a retry or a take-over the same text may come twice. With a hole the caller would take
    /// a part of an answer for the whole.
    fn check(&mut self, part: AnswerPart) -> Option<AnswerPart> {
        let AnswerPart::Text { position, text } = part else {
            return Some(part);
        };
        let Some(known) = self.position.checked_sub(position) else {
            let detail = "a part of the answer is missing";
            return Some(AnswerPart::Failed(CallError::new(
                ErrorKind::Internal,
                detail,
            )));
        };
        let skipped = usize::try_from(known).unwrap_or(usize::MAX);
        let text: String = text.chars().skip(skipped).collect();
        if text.is_empty() {
            return None;
        }
        let position = self.position;
        self.position += text.chars().count() as u64;
        Some(AnswerPart::Text { position, text })
    }

    /// Collects an answer that is not streamed.
    pub(crate) async fn whole(&mut self) -> Result<WholeAnswer, CallError> {
        let first = self.next().await;
        self.whole_from(first).await
    }

    /// Collects an answer whose first part has come.
    pub(crate) async fn whole_from(&mut self, first: AnswerPart) -> Result<WholeAnswer, CallError> {
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
                        Some(answer) => WholeAnswer::Plain(answer, done),
                        None => WholeAnswer::Turn(text, done),
                    });
                }
            }
            part = self.next().await;
        }
    }
}

/// An answer that is complete.
pub(crate) enum WholeAnswer {
    /// A turn's text.
    Turn(String, CallDone),
    /// What a plain service answered.
    Plain(PlainAnswer, CallDone),
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.complete {
            let _ = self.gone.send(self.request);
        }
    }
}

/// The parts ended without a last one: this process ends, or the caller did not read.
fn broken_off() -> CallError {
    CallError::new(ErrorKind::OutcomeUnknown, "the answer broke off here")
}

fn mixed() -> CallError {
    CallError::new(ErrorKind::Internal, "the answer is of the wrong kind")
}

/// A turn as server-sent events. The line `[DONE]` comes only after a whole answer; a failure is the
/// last event otherwise.
pub(crate) struct EventStream {
    answer: Answer,
    shape: ChatResponseTemplate,
    /// The part that came before the status was known.
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
    /// A stream that begins with `first`.
    pub(crate) const fn new(
        answer: Answer,
        shape: ChatResponseTemplate,
        first: AnswerPart,
    ) -> Self {
        Self {
            answer,
            shape,
            first: Some(first),
            stage: StreamStage::Opening,
        }
    }

    fn next_events(&mut self, part: &AnswerPart) -> String {
        match part {
            AnswerPart::Text { text, .. } => self.shape.text(text),
            AnswerPart::Done(done) => {
                self.stage = StreamStage::Ended;
                self.shape.closing(done)
            }
            AnswerPart::Failed(error) => {
                self.stage = StreamStage::Ended;
                error_event(error)
            }
            AnswerPart::Plain(_) => {
                self.stage = StreamStage::Ended;
                error_event(&mixed())
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
                return Poll::Ready(Some(Ok(this.shape.opening().into())));
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
