//! Runs the callers of a soak that keep connections idle for most of the idle limit and reuse them.

use std::io;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::soak_callers::{
    Caller, Callers, MAX_IDLE_SHARE, REQUEST_INTERVAL, exchange_on, keeps_connection,
};
use crate::soak_history::RequestKind;

/// How much shorter than the longest allowed the longest idle time is, as a part of the limit, so
/// that a request is sent in time by a late thread.
const IDLE_SHARE_MARGIN: f64 = 0.02;
/// The shortest idle time of a connection that stays idle for long, as a part of the limit.
const LONG_IDLE_SHARE: f64 = 0.7;
/// How often an idle caller checks which limit is in force.
const LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Callers<'_> {
    /// Keeps connections to one gateway idle and reuses them, until the run is over.
    ///
    /// A connection whose closing was announced stays open until the gateway closes it.
    pub(crate) fn keep_connections_idle(&self, gateway: usize, number: usize) {
        let mut caller = self.new_caller(format!("k{gateway}x{number}"));
        let mut unused = Vec::new();
        while !self.is_finished() {
            unused.retain(is_open);
            unused.extend(caller.keep_connection_idle(gateway));
            sleep(REQUEST_INTERVAL);
        }
    }

    /// Returns the shortest idle limit that may be in force at a gateway.
    fn idle_limit(&self, gateway: usize) -> Duration {
        let configs = self.world.configs_since(self.world.served_version(gateway));
        let limit_ms = configs.iter().map(|config| config.idle_limit_ms).min();
        Duration::from_millis(limit_ms.unwrap_or_default())
    }
}

impl Caller<'_> {
    /// Reuses one connection until no request may follow on it, and returns it.
    fn keep_connection_idle(&mut self, gateway: usize) -> Option<TcpStream> {
        let opened = self.shared.world.gateway_status(gateway);
        let mut connection = TcpStream::connect(opened.callers).ok()?;
        let mut idle_since = Instant::now();
        while !self.shared.is_finished() {
            let (kind, program) = self.choose_request(gateway);
            let mut attempt = self.start_attempt(gateway, &program, kind);
            attempt.connection_start = opened.start_count;
            attempt.idle = idle_since.elapsed();
            let answer = exchange_on(&mut connection, &mut attempt);
            idle_since = Instant::now();
            let can_continue = keeps_connection(&answer);
            self.finish_attempt(attempt, answer, |_| false);
            if !can_continue {
                return Some(connection);
            }
            self.stay_idle(gateway, idle_since);
        }
        None
    }

    /// Returns a request and its program.
    pub(crate) fn choose_request(&mut self, gateway: usize) -> (RequestKind, String) {
        let kinds = [
            RequestKind::Lookup,
            RequestKind::Booking,
            RequestKind::Draft,
            RequestKind::Chat { previous: None },
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())].clone();
        let number: u64 = self.random.random();
        (kind, format!("k{gateway}-{number:x}"))
    }

    /// Waits for a part of the idle limit, which may change meanwhile.
    fn stay_idle(&mut self, gateway: usize, since: Instant) {
        let longest = MAX_IDLE_SHARE - IDLE_SHARE_MARGIN;
        let shortest = if self.random.random_bool(0.5) {
            LONG_IDLE_SHARE
        } else {
            0.0
        };
        let share = self.random.random_range(shortest..longest);
        while !self.shared.is_finished()
            && since.elapsed() < self.shared.idle_limit(gateway).mul_f64(share)
        {
            sleep(LIMIT_POLL_INTERVAL);
        }
    }
}

/// Returns whether the other side has not closed a connection.
fn is_open(connection: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let peeked = connection
        .set_nonblocking(true)
        .and_then(|()| connection.peek(&mut byte));
    match peeked {
        Ok(count) => count > 0,
        Err(err) => err.kind() == io::ErrorKind::WouldBlock,
    }
}
