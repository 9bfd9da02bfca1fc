//! What waits to be sent over one link, bounded by count and by bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clementinepick::call::{AnswerPart, Payload};
use clementinepick::message::Message;
use clementinepick::units::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

/// What a message counts for beside the text and bodies that it carries.
const BASE_BYTES: usize = 512;

/// The peer reads too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("too much waits for this peer")]
pub(crate) struct QueueFull;

/// The sending end; dropping it closes the link once what waits is sent.
#[derive(Debug)]
pub(crate) struct QueueSender {
    messages: mpsc::Sender<(Message, usize)>,
    waiting_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// The end that the link's writer reads.
#[derive(Debug)]
pub(crate) struct QueueReader {
    messages: mpsc::Receiver<(Message, usize)>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// A queue for at most `max_messages` of together about `max_bytes`.
pub(crate) fn link_queue(max_messages: usize, max_bytes: Bytes) -> (QueueSender, QueueReader) {
    let (sender, receiver) = mpsc::channel(max_messages);
    let waiting_bytes = Arc::new(AtomicUsize::new(0));
    let sender = QueueSender {
        messages: sender,
        waiting_bytes: Arc::clone(&waiting_bytes),
        max_bytes: usize::try_from(max_bytes.0).unwrap_or(usize::MAX),
    };
    let reader = QueueReader {
        messages: receiver,
        waiting_bytes,
    };
    (sender, reader)
}

impl QueueSender {
    /// Adds a message without waiting.
    ///
    /// One message is always taken by an empty queue, whatever its size.
    pub(crate) fn push(&self, message: Message) -> Result<(), QueueFull> {
        let size = size_of(&message);
        let before = self.waiting_bytes.fetch_add(size, Ordering::Relaxed);
        let fits = before == 0 || before + size <= self.max_bytes;
        if fits && self.messages.try_send((message, size)).is_ok() {
            return Ok(());
        }
        self.waiting_bytes.fetch_sub(size, Ordering::Relaxed);
        Err(QueueFull)
    }

    /// The count of messages that wait.
    pub(crate) fn queued_messages(&self) -> usize {
        self.messages.max_capacity() - self.messages.capacity()
    }
}

impl QueueReader {
    /// Waits for messages and takes up to `limit`; none are left once the sender is gone.
    pub(crate) async fn take(&mut self, limit: usize) -> Vec<Message> {
        let mut taken = Vec::new();
        self.messages.recv_many(&mut taken, limit).await;
        let size = taken.iter().map(|(_, size)| size).sum();
        self.waiting_bytes.fetch_sub(size, Ordering::Relaxed);
        taken.into_iter().map(|(message, _)| message).collect()
    }
}

/// About what a message takes, without encoding it.
fn size_of(message: &Message) -> usize {
    let carried = match message {
        Message::Forward { request, .. } => size_of_payload(&request.payload),
        Message::Dispatch(dispatch) => size_of_payload(&dispatch.payload),
        Message::ForwardReply { part, .. } | Message::DispatchReply { part, .. } => {
            size_of_part(part)
        }
        Message::Documents(documents) => documents.iter().map(|d| d.text.len()).sum(),
        _ => 0,
    };
    BASE_BYTES + carried
}

fn size_of_payload(payload: &Payload) -> usize {
    match payload {
        Payload::Chat(chat) => {
            let messages = chat.messages.iter();
            messages.map(|m| BASE_BYTES + m.content.len()).sum()
        }
        Payload::Plain(call) => call.body.len(),
    }
}

fn size_of_part(part: &AnswerPart) -> usize {
    match part {
        AnswerPart::Text { text, .. } => text.len(),
        AnswerPart::Plain(answer) => answer.body.len(),
        AnswerPart::Done(_) | AnswerPart::Failed(_) => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use clementinepick::ids::RequestId;

    fn text(length: usize) -> Message {
        let text = "x".repeat(length);
        Message::ForwardReply {
            request: RequestId(1),
            part: AnswerPart::Text { position: 0, text },
        }
    }

    // A peer reads slowly while large answers go to it. A bound on their count alone would let
    // gigabytes wait.
    #[test]
    fn a_queue_is_full_by_bytes_and_has_room_again_once_they_are_taken() {
        let (sender, mut reader) = link_queue(100, Bytes(100_000));
        assert_eq!(sender.push(text(60_000)), Ok(()));
        assert_eq!(sender.push(text(60_000)), Err(QueueFull));
        assert_eq!(sender.push(text(10_000)), Ok(()));
        let taken = actix_rt::System::new().block_on(reader.take(10));
        assert_eq!(taken.len(), 2);
        assert_eq!(sender.push(text(200_000)), Ok(()));
        assert_eq!(sender.push(text(0)), Err(QueueFull));
    }

    #[test]
    fn a_queue_is_full_by_count() {
        let (sender, _reader) = link_queue(2, Bytes(1_000_000));
        assert_eq!(sender.push(text(0)), Ok(()));
        assert_eq!(sender.push(text(0)), Ok(()));
        assert_eq!(sender.push(text(0)), Err(QueueFull));
        assert_eq!(sender.queued_messages(), 2);
    }
}
