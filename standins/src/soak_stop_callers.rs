//! Runs the callers of a soak with planned stops: those that send slowly, that pipeline, and that flood
//! a gateway with requests whose responses never end.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::platform_caller::{CallerRequest, CallerResponse, ResponseReader, read_response};
use crate::soak_answers::Excuse;
use crate::soak_callers::{Attempt, Caller, Callers, REQUEST_INTERVAL, keeps_connection};

/// The longest time from the first to the last byte of a request that is sent slowly.
const MAX_HOLD_MS: u64 = 2_600;
/// The requests of a caller that pipelines which wait for a response.
const PIPELINED: usize = 2;
/// The requests of a flood, and how long their callers read the responses.
const FLOOD_REQUESTS: usize = 120;
const FLOOD_READ_TIME: Duration = Duration::from_millis(800);

impl Callers<'_> {
    /// Sends requests slowly to one gateway until the run is over.
    pub(crate) fn send_slowly(&self, gateway: usize, number: usize) {
        let mut caller = self.new_caller(format!("s{gateway}x{number}"));
        while !self.is_finished() {
            caller.send_one_slowly(gateway);
            sleep(REQUEST_INTERVAL);
        }
    }

    /// Keeps requests waiting on connections to one gateway until the run is over.
    pub(crate) fn pipeline(&self, gateway: usize, number: usize) {
        let mut caller = self.new_caller(format!("q{gateway}x{number}"));
        while !self.is_finished() {
            caller.use_pipeline(gateway);
            sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends many requests at once to a gateway that servers answer without end.
    pub(crate) fn flood(&self, gateway: usize, random_value: u64) {
        let address = self.world.gateway_status(gateway).callers;
        let is_stream = random_value.is_multiple_of(2);
        let start = Barrier::new(FLOOD_REQUESTS);
        thread::scope(|scope| {
            for number in 0..FLOOD_REQUESTS {
                let start = &start;
                scope.spawn(move || {
                    let connected = TcpStream::connect(address);
                    start.wait();
                    // Nothing is expected of these requests: their gateway may have ended.
                    if let Ok(mut connection) = connected {
                        let id = format!("f{random_value:x}-{number}");
                        let request = flood_request(&id, is_stream);
                        let _ = connection.write_all(&request.bytes());
                        let _ = read_for(&mut connection, FLOOD_READ_TIME);
                    }
                });
            }
        });
    }
}

fn flood_request(id: &str, is_stream: bool) -> CallerRequest {
    if is_stream {
        CallerRequest::turn("/flood-chat/1", id, id, "x")
    } else {
        CallerRequest::new("GET", "/flood/1", id)
    }
}

fn read_for(connection: &mut TcpStream, span: Duration) -> std::io::Result<()> {
    let end = Instant::now() + span;
    let mut buffer = [0; 16_384];
    connection.set_read_timeout(Some(span))?;
    while Instant::now() < end && connection.read(&mut buffer)? > 0 {}
    Ok(())
}

impl Caller<'_> {
    /// Sends a request of which the last byte follows after a while.
    fn send_one_slowly(&mut self, gateway: usize) {
        let opened = self.shared.world.gateway_status(gateway);
        let Ok(mut connection) = TcpStream::connect(opened.callers) else {
            return;
        };
        let mut attempt = self.start_request(gateway, opened.start_count);
        if attempt.request.body.is_empty() {
            "a body that arrives late".clone_into(&mut attempt.request.body);
        }
        let hold = Duration::from_millis(self.random.random_range(0..MAX_HOLD_MS));
        let bytes = attempt.request.bytes();
        let (last, start) = bytes.split_last().unwrap_or((&0, &[]));
        let sent = connection.write_all(start).and_then(|()| {
            sleep(hold);
            attempt.held = hold;
            connection.write_all(&[*last])
        });
        if sent.is_err() {
            attempt.excuse = Some(Excuse::NotSent);
        }
        let answer = read_response(&mut connection).unwrap_or_default();
        self.finish_attempt(attempt, answer, |_| false);
    }

    fn start_request(&mut self, gateway: usize, start_count: u32) -> Attempt {
        let (kind, program) = self.choose_request(gateway);
        let mut attempt = self.start_attempt(gateway, &program, kind);
        attempt.connection_start = start_count;
        attempt
    }

    /// Uses one connection, on which the next request is always sent before the response to the one
    /// before, until it is closed.
    fn use_pipeline(&mut self, gateway: usize) {
        let opened = self.shared.world.gateway_status(gateway);
        let Ok(connection) = TcpStream::connect(opened.callers) else {
            return;
        };
        let mut reader = ResponseReader::new(connection);
        let mut waiting = std::collections::VecDeque::new();
        let mut is_open = true;
        while is_open && !self.shared.is_finished() {
            let missing = PIPELINED.saturating_sub(waiting.len());
            let mut next: Vec<Attempt> = (0..missing)
                .map(|_| self.start_request(gateway, opened.start_count))
                .collect();
            let bytes: Vec<u8> = next.iter().flat_map(|next| next.request.bytes()).collect();
            if reader.connection.write_all(&bytes).is_err() {
                is_open = false;
                for attempt in &mut next {
                    attempt.excuse = Some(Excuse::NotSent);
                }
            }
            waiting.extend(next);
            let Some(first) = waiting.pop_front() else {
                return;
            };
            let answer = reader.read().unwrap_or_default();
            is_open &= keeps_connection(&answer);
            self.finish_attempt(first, answer, |_| false);
        }
        // A connection whose close was announced gives no further response.
        for attempt in waiting {
            let answer = if is_open {
                reader.read().unwrap_or_default()
            } else {
                CallerResponse::default()
            };
            self.finish_attempt(attempt, answer, |_| false);
        }
    }
}
