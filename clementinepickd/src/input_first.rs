//! Lets input that has already arrived win over timers and signals.
//!
//! After a pause of the process, its timers may fire before the runtime has looked at the sockets.

use std::cell::Cell;
use std::future::{Future, ready};
use std::pin::Pin;

use tokio::task::yield_now;

/// Polls a future once.
pub(crate) async fn poll_once<T>(mut future: Pin<&mut impl Future<Output = T>>) -> Option<T> {
    tokio::select! {
        biased;
        output = &mut future => Some(output),
        () = ready(()) => None,
    }
}

/// Polls a future once after the runtime has looked at the sockets.
pub(crate) async fn poll_after_input<T>(future: Pin<&mut impl Future<Output = T>>) -> Option<T> {
    yield_now().await;
    poll_once(future).await
}

/// Polls a future that reads until it ends or has read all that has arrived, counted in `received`.
pub(crate) async fn read_arrived<T>(
    mut reading: Pin<&mut impl Future<Output = T>>,
    received_bytes: &Cell<u64>,
) -> Option<T> {
    loop {
        let before = received_bytes.get();
        let output = poll_after_input(reading.as_mut()).await;
        if output.is_some() || received_bytes.get() == before {
            return output;
        }
    }
}
