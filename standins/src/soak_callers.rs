//! Runs the callers of a soak: programs with retries, bookings, and requests on open connections.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::http::lock;
use crate::platform_caller::{CallerRequest, CallerResponse, read_response, read_start};
use crate::soak_answers::Excuse;
use crate::soak_history::{BUDGET_TOKENS, History, RequestKind, RequestRecord};
use crate::soak_plan::SoakPlan;
use crate::soak_world::{GatewayStatus, SoakWorld};

/// The longest wait before a request is retried.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(300);
const MAX_TRIES: u32 = 6;
/// The longest time after which a caller that does not wait for its response disconnects.
const MAX_PATIENCE_MS: u64 = 50;
/// The pause between two requests on an open connection, and between two version checks.
pub(crate) const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// The part of the idle limit for which callers keep a connection idle before they reuse it.
pub(crate) const MAX_IDLE_SHARE: f64 = 0.8;
/// The most turns of a program that finishes by itself.
const MAX_PROGRAM_TURNS: u64 = 6;
/// The most turns of a looping program, which are more than its token budget allows.
const MAX_LOOP_TURNS: u64 = 40;

/// What a caller received for a request.
pub(crate) struct Received {
    pub(crate) id: String,
    pub(crate) status: u16,
    pub(crate) is_complete: bool,
    /// The id of the last whole event.
    pub(crate) last_event: Option<u64>,
}

impl Received {
    fn of(id: String, answer: &CallerResponse) -> Self {
        let whole = answer
            .body
            .rsplit_once("\n\n")
            .map_or("", |(whole, _)| whole);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        Self {
            id,
            status: answer.status,
            is_complete: answer.is_complete,
            last_event: ids.filter_map(|id| id.parse().ok()).next_back(),
        }
    }
}

/// The state shared by all callers of a run.
pub(crate) struct Callers<'a> {
    pub(crate) world: &'a SoakWorld,
    pub(crate) seed: u64,
    pub(crate) is_finished: AtomicBool,
    /// Whether some callers close their connections before the response.
    pub(crate) should_disconnect: AtomicBool,
    pub(crate) history: Mutex<History>,
}

/// A caller with its own random numbers and request ids.
pub(crate) struct Caller<'a> {
    pub(crate) shared: &'a Callers<'a>,
    name: String,
    pub(crate) random: ChaCha8Rng,
    sent_count: u64,
}

/// A request that is being sent, with the state in which its gateway was.
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) request: CallerRequest,
    program: String,
    kind: RequestKind,
    gateway: usize,
    before: GatewayStatus,
    /// The newest configuration that its gateway was known to have in force.
    served_version: u64,
    sent_at: Instant,
    /// How long its connection had been idle.
    pub(crate) idle: Duration,
    /// The start of the gateway to which the connection was opened.
    pub(crate) connection_start: u32,
    /// The time from its first to its last byte.
    pub(crate) held: Duration,
    pub(crate) excuse: Option<Excuse>,
    /// Whether its connection had been idle and may be closed for a crowd.
    pub(crate) may_give_way: bool,
}

impl Callers<'_> {
    pub(crate) fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }

    fn record(&self, record: RequestRecord) {
        lock(&self.history).requests.push(record);
    }

    pub(crate) fn new_caller(&self, name: String) -> Caller<'_> {
        let number: u64 = name.bytes().map(u64::from).sum();
        Caller {
            shared: self,
            random: ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(number)),
            name,
            sent_count: 0,
        }
    }

    /// Runs programs, one after the other, until the run is over.
    pub(crate) fn run_programs(&self, number: usize) {
        let mut caller = self.new_caller(format!("p{number}"));
        let mut program: u32 = 0;
        while !self.is_finished() {
            let name = format!("{}-{program}", caller.name);
            // One program in four loops until its budget is exhausted.
            let max_turns = if program % 4 == 3 {
                MAX_LOOP_TURNS
            } else {
                MAX_PROGRAM_TURNS
            };
            caller.run_program(&name, program.is_multiple_of(2), max_turns);
            program += 1;
        }
    }

    /// Sends lookups to one gateway on connections that stay open, until the run is over.
    pub(crate) fn use_open_connections(&self, gateway: usize) {
        let mut caller = self.new_caller(format!("o{gateway}"));
        while !self.is_finished() {
            caller.use_connection(gateway);
            sleep(REQUEST_INTERVAL);
        }
    }

    /// Polls which configuration version a gateway serves, until the run is over.
    pub(crate) fn poll_config_versions(&self, gateway: usize) {
        let mut caller = self.new_caller(format!("v{gateway}"));
        while !self.is_finished() {
            let newest = self.world.config_version();
            for version in newest.saturating_sub(1).max(1)..=newest {
                let kind = RequestKind::Version(version);
                let start_count = self.world.gateway_status(gateway).start_count;
                if caller.send(gateway, "", kind).status == 200 {
                    self.world
                        .record_served_version((gateway, start_count), version);
                }
            }
            sleep(REQUEST_INTERVAL);
        }
    }
}

impl Caller<'_> {
    fn run_program(&mut self, program: &str, keeps_context: bool, max_turns: u64) {
        let mut previous: Option<String> = None;
        for _ in 0..self.random.random_range(max_turns / 2..=max_turns) {
            let kind = if keeps_context {
                RequestKind::Chat {
                    previous: previous.clone(),
                }
            } else {
                RequestKind::Draft
            };
            let Some(id) = self.send_until_complete(program, &kind) else {
                return;
            };
            previous = Some(id);
            let tool = if self.random.random_bool(0.5) {
                RequestKind::Lookup
            } else {
                RequestKind::Booking
            };
            let gateway = self.choose_gateway();
            self.send(gateway, program, tool);
        }
    }

    /// Retries a turn until it completes and returns its id; `None` if it failed for good.
    fn send_until_complete(&mut self, program: &str, kind: &RequestKind) -> Option<String> {
        for _ in 0..MAX_TRIES {
            if self.shared.is_finished() {
                return None;
            }
            let gateway = self.choose_gateway();
            let received = self.send(gateway, program, kind.clone());
            match received.status {
                200 if received.is_complete => return Some(received.id),
                200 if *kind == RequestKind::Draft => {
                    if let Some(id) = self.resume_until_complete(program, received) {
                        return Some(id);
                    }
                }
                402 | 404 => return None,
                _ => self.back_off(),
            }
        }
        None
    }

    pub(crate) fn choose_gateway(&mut self) -> usize {
        self.random
            .random_range(0..self.shared.world.gateway_count())
    }

    pub(crate) fn back_off(&mut self) {
        sleep(MAX_RETRY_BACKOFF.mul_f64(self.random.random_range(0.2..1.0)));
    }

    /// Resumes a draft that was cut, until it is complete; `None` if it can't be resumed.
    fn resume_until_complete(&mut self, program: &str, cut: Received) -> Option<String> {
        let first = cut.id;
        let mut last_event = cut.last_event?;
        for _ in 0..MAX_TRIES {
            let gateway = self.choose_gateway();
            let kind = RequestKind::Resumed {
                first: first.clone(),
                last_event,
                is_named: true,
            };
            let received = self.send(gateway, program, kind);
            match received.status {
                200 if received.is_complete => return Some(received.id),
                200 => last_event = received.last_event.unwrap_or(last_event),
                // The gateway may be down; the next try may meet another one.
                0 => self.back_off(),
                _ => return None,
            }
        }
        None
    }

    fn next_id(&mut self) -> String {
        self.sent_count += 1;
        format!("{}r{}", self.name, self.sent_count)
    }

    fn build_request(&mut self, program: &str, kind: &RequestKind) -> (String, CallerRequest) {
        let id = self.next_id();
        let budget = BUDGET_TOKENS.to_string();
        let turn = |path: &str| {
            let turn = CallerRequest::turn(path, &id, program, &id);
            turn.with("Token-Budget", &budget)
        };
        let request = match kind {
            RequestKind::Chat { previous: None } => turn("/chat/1"),
            RequestKind::Chat {
                previous: Some(previous),
            } => turn("/chat/1").with("Previous-Turn", previous),
            RequestKind::Draft => turn("/draft/1"),
            RequestKind::Resumed {
                first,
                last_event,
                is_named,
            } => {
                let rest = turn("/draft/1").with("Last-Event-Id", &last_event.to_string());
                if *is_named {
                    rest.with("Resumes", first)
                } else {
                    rest
                }
            }
            RequestKind::Lookup => CallerRequest::new("GET", "/look/1", &id),
            RequestKind::Booking => CallerRequest::new("POST", "/book/1", &id),
            RequestKind::Version(version) => {
                CallerRequest::new("GET", &format!("/version-{version}/1"), &id)
            }
        };
        (id, request)
    }

    /// Prepares a request, which is sent next.
    pub(crate) fn start_attempt(
        &mut self,
        gateway: usize,
        program: &str,
        kind: RequestKind,
    ) -> Attempt {
        let (id, request) = self.build_request(program, &kind);
        let world = self.shared.world;
        let before = world.gateway_status(gateway);
        Attempt {
            id,
            request,
            program: program.to_owned(),
            kind,
            gateway,
            before,
            served_version: world.served_version(gateway),
            sent_at: Instant::now(),
            idle: Duration::ZERO,
            connection_start: before.start_count,
            held: Duration::ZERO,
            excuse: None,
            may_give_way: false,
        }
    }

    /// Records a request and its response.
    pub(crate) fn finish_attempt(
        &self,
        attempt: Attempt,
        answer: CallerResponse,
        must_respond: impl FnOnce(GatewayStatus) -> bool,
    ) {
        let world = self.shared.world;
        let Attempt { before, .. } = attempt;
        let after = world.gateway_status(attempt.gateway);
        let configs = world.configs_since(attempt.served_version);
        let idle_limit_ms = configs.iter().map(|config| config.idle_limit_ms).min();
        let idle_limit = Duration::from_millis(idle_limit_ms.unwrap_or_default());
        let timeouts = configs.iter().map(|config| config.timeout(&attempt.kind));
        let timeout = timeouts.min().unwrap_or_default();
        let is_disturbed = before.has_fault
            || after.has_fault
            || before.disturbance_count != after.disturbance_count
            || before.start_count != attempt.connection_start;
        let is_closing = before.is_ending
            || after.is_ending
            || attempt.may_give_way
            || attempt.idle > idle_limit.mul_f64(MAX_IDLE_SHARE);
        self.shared.record(RequestRecord {
            id: attempt.id,
            path: attempt.request.path,
            program: attempt.program,
            kind: attempt.kind,
            gateway: (attempt.gateway, before.start_count),
            status: answer.status,
            reports_not_executed: answer.headers.contains_key("retry-after"),
            body: answer.body,
            is_complete: answer.is_complete,
            // A connection to an earlier start of the gateway ended with it.
            requires_response: must_respond(after)
                && is_undisturbed(before, after)
                && before.start_count == attempt.connection_start,
            sent_at: world.elapsed(attempt.sent_at),
            duration: attempt.sent_at.elapsed(),
            held: attempt.held,
            idle: attempt.idle,
            idle_limit,
            timeout,
            excuse: attempt
                .excuse
                .or(is_disturbed.then_some(Excuse::GatewayDisturbed))
                .or(is_closing.then_some(Excuse::Closing)),
        });
    }

    /// Sends a request on a new connection.
    fn send(&mut self, gateway: usize, program: &str, kind: RequestKind) -> Received {
        let attempt = self.start_attempt(gateway, program, kind);
        let disconnects =
            self.shared.should_disconnect.load(Ordering::Relaxed) && self.random.random_bool(0.3);
        let patience = Duration::from_millis(self.random.random_range(5..=MAX_PATIENCE_MS));
        self.send_attempt(attempt, disconnects.then_some(patience))
    }

    /// Sends a prepared request on a new connection; a caller with limited patience closes it after
    /// that.
    pub(crate) fn send_attempt(
        &self,
        mut attempt: Attempt,
        patience: Option<Duration>,
    ) -> Received {
        let connected = TcpStream::connect(attempt.before.callers);
        let is_connected = connected.is_ok();
        let mut is_sent = false;
        let answer = connected.and_then(|mut connection| {
            connection.write_all(&attempt.request.bytes())?;
            is_sent = true;
            if let Some(patience) = patience {
                return read_start(&mut connection, patience);
            }
            read_response(&mut connection)
        });
        let answer = answer.unwrap_or_default();
        if !is_sent {
            attempt.excuse = Some(Excuse::NotSent);
        } else if patience.is_some() {
            attempt.excuse = Some(Excuse::CallerLeft);
        }
        let received = Received::of(attempt.id.clone(), &answer);
        self.finish_attempt(attempt, answer, |after| {
            is_connected && patience.is_none() && !after.is_ending
        });
        received
    }

    pub(crate) fn has_crowds(&self) -> bool {
        self.shared.world.plan == SoakPlan::Crowds
    }

    /// Sends lookups on one connection until it is closed or its closing is announced.
    fn use_connection(&mut self, gateway: usize) {
        let opened = self.shared.world.gateway_status(gateway);
        let Ok(mut connection) = TcpStream::connect(opened.callers) else {
            return;
        };
        let mut idle_since = Instant::now();
        let mut is_open = false;
        while !self.shared.is_finished() {
            let mut attempt = self.start_attempt(gateway, "", RequestKind::Lookup);
            attempt.connection_start = opened.start_count;
            attempt.idle = idle_since.elapsed();
            attempt.may_give_way = is_open && self.has_crowds();
            let answer = exchange_on(&mut connection, &mut attempt);
            idle_since = Instant::now();
            let can_continue = keeps_connection(&answer);
            // A graceful shutdown must not cut off a request on an open connection unless it has
            // announced to close it.
            let must_respond = is_open && !self.has_crowds();
            self.finish_attempt(attempt, answer, |_| must_respond);
            if !can_continue {
                return;
            }
            is_open = true;
            sleep(REQUEST_INTERVAL);
        }
    }
}

/// Sends a request on an open connection and returns what arrives of its response.
pub(crate) fn exchange_on(connection: &mut TcpStream, attempt: &mut Attempt) -> CallerResponse {
    if connection.write_all(&attempt.request.bytes()).is_err() {
        attempt.excuse = Some(Excuse::NotSent);
        return CallerResponse::default();
    }
    read_response(connection).unwrap_or_default()
}

/// Returns whether another request may follow a response on its connection.
pub(crate) fn keeps_connection(answer: &CallerResponse) -> bool {
    let connection = answer.headers.get("connection");
    answer.status != 0 && answer.is_complete && connection.is_none_or(|value| value != "close")
}

fn is_undisturbed(before: GatewayStatus, after: GatewayStatus) -> bool {
    before.start_count == after.start_count && !before.has_fault && !after.has_fault
}
