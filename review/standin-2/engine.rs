//! A model engine: admits runs in order of arrival within its slots and memory, reads prompts at a
//! fixed rate and streams events.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, serve};
use crate::record::Record;

pub struct EngineSettings {
    pub slots: usize,
    pub queue: usize,
    pub kv_tokens: u64,
    pub bytes_per_token: u64,
    pub prefill_tokens_per_ms: u64,
    /// The tokens at the start of each prompt that are kept anyway.
    pub shared_tokens: u64,
    pub events: u64,
    pub gap: Duration,
    /// The time before the first event, beside that for the prompt.
    pub first: Duration,
}

#[derive(Default)]
struct State {
    running: usize,
    running_tokens: u64,
    waiting: VecDeque<u64>,
    next_ticket: u64,
    prefill_free_at: Option<Instant>,
    /// The sessions whose prompts are kept, the newest last, with their tokens.
    kept: VecDeque<(String, u64)>,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    settings: Arc<EngineSettings>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    /// When requests reached this engine, by id, in seconds.
    pub arrivals: Mutex<BTreeMap<String, Vec<f64>>>,
    /// When runs began and ended, by id, in seconds.
    pub spans: Mutex<BTreeMap<String, Vec<(f64, f64)>>>,
    pub runs: AtomicU64,
    pub completed: AtomicU64,
    pub dropped: AtomicU64,
}

enum Admission {
    Admitted,
    Refused(&'static str),
    Left,
}

impl Engine {
    pub fn start(
        id: &str,
        address: &str,
        settings: Arc<EngineSettings>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port for an engine");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            settings,
            record,
            state: Mutex::default(),
            changed: Condvar::new(),
            arrivals: Mutex::default(),
            spans: Mutex::default(),
            runs: AtomicU64::new(0),
            completed: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        let served = Arc::clone(&engine);
        serve(
            listener,
            Arc::new(move |conn, request| served.handle(conn, &request)),
        );
        engine
    }

    fn load(&self) -> String {
        let state = self.state.lock().expect("the engine");
        format!(
            "{},{},{}",
            state.running,
            state.waiting.len(),
            self.settings.slots
        )
    }

    fn handle(&self, conn: &mut Conn, request: &Request) -> io::Result<()> {
        match request.path() {
            "/healthz" => {
                let load = self.load();
                return conn.respond(
                    "200 OK",
                    &[("Instance-Id", &self.id), ("Instance-Load", &load)],
                    b"",
                );
            }
            "/clementinepick/report" => {
                let body = b"{\"Stage\":\"both\",\"Busy\":false,\"Seq\":0,\"Handles\":0}";
                return conn.respond("200 OK", &[("Content-Type", "application/json")], body);
            }
            _ => {}
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return conn.respond("421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        let Some(id) = request.header("request-id").map(str::to_owned) else {
            return conn.respond("400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        self.run(conn, request, &id)
    }

    fn run(&self, conn: &mut Conn, request: &Request, id: &str) -> io::Result<()> {
        let arrived = Instant::now();
        let at = self.record.seconds();
        self.arrivals
            .lock()
            .expect("the engine")
            .entry(id.to_owned())
            .or_default()
            .push(at);
        let deadline_ms = request.header("deadline-ms").and_then(|d| d.parse().ok());
        let deadline = arrived + Duration::from_millis(deadline_ms.unwrap_or(600_000));
        let tokens = request.body.len() as u64 / self.settings.bytes_per_token + 1;
        let session = request.header("session-id").unwrap_or(id).to_owned();
        match self.admit(conn, tokens, deadline) {
            Admission::Admitted => {}
            Admission::Refused(why) => {
                self.record
                    .line(&format!("engine {} refuses {id}: {why}", self.id));
                return conn.respond("503 Service Unavailable", &[("Not-Executed", "1")], b"");
            }
            Admission::Left => {
                self.record.line(&format!(
                    "engine {} drops {id}, which waited: its connection is closed",
                    self.id
                ));
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
        let began = self.record.seconds();
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.record
            .line(&format!("engine {} runs {id}, {tokens} tokens", self.id));
        let ended = self.work(conn, request, id, tokens, &session, deadline);
        let mut state = self.state.lock().expect("the engine");
        state.running -= 1;
        state.running_tokens -= tokens;
        self.changed.notify_all();
        drop(state);
        let at = self.record.seconds();
        self.spans
            .lock()
            .expect("the engine")
            .entry(id.to_owned())
            .or_default()
            .push((began, at));
        if ended.is_ok() {
            self.completed.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(&format!("engine {} has completed {id}", self.id));
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!(
                "engine {} has dropped {id}: its connection is closed",
                self.id
            ));
        }
        ended
    }

    /// Waits in the order of arrival for a slot and for memory.
    fn admit(&self, conn: &Conn, tokens: u64, deadline: Instant) -> Admission {
        let mut state = self.state.lock().expect("the engine");
        if tokens > self.settings.kv_tokens || state.waiting.len() >= self.settings.queue {
            return Admission::Refused("it is full");
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.push_back(ticket);
        loop {
            let fits = state.running < self.settings.slots
                && state.running_tokens + tokens <= self.settings.kv_tokens;
            if state.waiting.front() == Some(&ticket) && fits {
                state.waiting.pop_front();
                state.running += 1;
                state.running_tokens += tokens;
                self.changed.notify_all();
                return Admission::Admitted;
            }
            let outcome = if conn.is_closed() {
                Some(Admission::Left)
            } else if Instant::now() >= deadline {
                Some(Admission::Refused("its deadline has passed"))
            } else {
                None
            };
            if let Some(outcome) = outcome {
                state.waiting.retain(|t| *t != ticket);
                self.changed.notify_all();
                return outcome;
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(10))
                .expect("the engine")
                .0;
        }
    }

    /// Returns how long the prompt takes to be read, behind those of others.
    fn prefill(&self, session: &str, tokens: u64) -> Instant {
        let mut state = self.state.lock().expect("the engine");
        let kept = state.kept.iter().position(|(s, _)| s == session);
        let kept = kept
            .and_then(|at| state.kept.remove(at))
            .map_or(0, |(_, t)| t);
        let missing = tokens.saturating_sub(kept.max(self.settings.shared_tokens));
        state.kept.push_back((session.to_owned(), tokens));
        while state.kept.iter().map(|(_, t)| t).sum::<u64>() > self.settings.kv_tokens {
            state.kept.pop_front();
        }
        let now = Instant::now();
        let from = state.prefill_free_at.map_or(now, |at| at.max(now));
        let ms = missing as f64 / self.settings.prefill_tokens_per_ms as f64;
        let done = from + Duration::from_secs_f64(ms / 1_000.0);
        state.prefill_free_at = Some(done);
        done
    }

    fn sleep_until(&self, conn: &Conn, until: Instant) -> io::Result<()> {
        loop {
            if conn.is_closed() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }

    fn work(
        &self,
        conn: &mut Conn,
        request: &Request,
        id: &str,
        tokens: u64,
        session: &str,
        deadline: Instant,
    ) -> io::Result<()> {
        let read_at = self.prefill(session, tokens) + self.settings.first;
        self.sleep_until(conn, read_at.min(deadline))?;
        if Instant::now() >= deadline {
            return conn.respond(
                "504 Gateway Timeout",
                &[("Request-Id", id), ("Server-Stamp", "late")],
                b"",
            );
        }
        let stamp = format!("{}.{id}", self.id);
        let load = self.load();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Stamp: {stamp}\r\nInstance-Load: {load}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.stream.write_all(head.as_bytes())?;
        let from = request
            .header("last-event-id")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        for event in from + 1..=self.settings.events {
            let text = format!("id: {event}\ndata: part {event} of {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            conn.stream.write_all(chunk.as_bytes())?;
            self.sleep_until(conn, (Instant::now() + self.settings.gap).min(deadline))?;
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}
