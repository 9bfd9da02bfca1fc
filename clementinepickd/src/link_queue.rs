//! Queues the messages to send over one link, bounded by count and by bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clementinepick::call::{AnswerPart, Payload};
use clementinepick::message::Message;
use clementinepick::units::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

/// The size that is assumed for a message without its text and bodies.
const MESSAGE_OVERHEAD_BYTES: usize = 512;

/// The queue is full because the peer reads too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the send queue of this peer is full")]
pub(crate) struct QueueFull;

/// The sending end; dropping it closes the link after the queued messages are sent.
#[derive(Debug)]
pub(crate) struct QueueSender {
    messages: mpsc::Sender<(Message, usize)>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// The receiving end, read by the link's writer.
#[derive(Debug)]
pub(crate) struct QueueReader {
    messages: mpsc::Receiver<(Message, usize)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Creates a queue of at most `max_messages` messages and about `max_bytes` in total.
pub(crate) fn link_queue(max_messages: usize, max_bytes: Bytes) -> (QueueSender, QueueReader) {
    let (sender, receiver) = mpsc::channel(max_messages);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let sender = QueueSender {
        messages: sender,
        queued_bytes: Arc::clone(&queued_bytes),
        max_bytes: usize::try_from(max_bytes.0).unwrap_or(usize::MAX),
    };
    let reader = QueueReader {
        messages: receiver,
        queued_bytes,
    };
    (sender, reader)
}

impl QueueSender {
    /// Queues a message without waiting; fails if the queue is full.
    ///
    /// An empty queue accepts a message of any size.
    pub(crate) fn push(&self, message: Message) -> Result<(), QueueFull> {
        let size = estimated_bytes(&message);
        let before = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        let has_room = before == 0 || before + size <= self.max_bytes;
        if has_room && self.messages.try_send((message, size)).is_ok() {
            return Ok(());
        }
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        Err(QueueFull)
    }

    /// Returns the number of queued messages.
    pub(crate) fn queued_messages(&self) -> usize {
        self.messages.max_capacity() - self.messages.capacity()
    }
}

impl QueueReader {
    /// Waits for messages and takes up to `limit`; returns none once the sender is dropped and the
    /// queue is empty.
    pub(crate) async fn take(&mut self, limit: usize) -> Vec<Message> {
        let mut taken = Vec::new();
        self.messages.recv_many(&mut taken, limit).await;
        let size = taken.iter().map(|(_, size)| size).sum();
        self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
        taken.into_iter().map(|(message, _)| message).collect()
    }
}

/// Estimates the size of a message without encoding it.
fn estimated_bytes(message: &Message) -> usize {
    let content_bytes = match message {
        Message::Forward { request, .. } => payload_bytes(&request.payload),
        Message::Dispatch(dispatch) => payload_bytes(&dispatch.payload),
        Message::ForwardReply { part, .. } | Message::DispatchReply { part, .. } => {
            part_bytes(part)
        }
        Message::Documents(documents) => documents.iter().map(|d| d.text.len()).sum(),
        _ => 0,
    };
    MESSAGE_OVERHEAD_BYTES + content_bytes
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Chat(chat) => {
            let messages = chat.messages.iter();
            messages
                .map(|m| MESSAGE_OVERHEAD_BYTES + m.content.len())
                .sum()
        }
        Payload::Plain(call) => call.body.len(),
    }
}

fn part_bytes(part: &AnswerPart) -> usize {
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

    // A slow peer is sent large answers: a bound on the count alone would let gigabytes queue up.
    #[test]
    fn a_queue_full_by_bytes_accepts_messages_again_once_read() {
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
    fn a_queue_is_bounded_by_count() {
        let (sender, _reader) = link_queue(2, Bytes(1_000_000));
        assert_eq!(sender.push(text(0)), Ok(()));
        assert_eq!(sender.push(text(0)), Ok(()));
        assert_eq!(sender.push(text(0)), Err(QueueFull));
        assert_eq!(sender.queued_messages(), 2);
    }
}
