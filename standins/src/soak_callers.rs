//! The callers of a soak: programs with retries, bookings, and connections that stay open.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::http::lock;
use crate::platform_caller::{CallerAnswer, CallerRequest, read_answer};
use crate::soak_history::{BUDGET_TOKENS, History, RequestKind, RequestRecord};
use crate::soak_world::{GATEWAYS, GatewayStatus, SoakWorld};

/// The longest time from one try of a request to the next.
const MAX_PAUSE: Duration = Duration::from_millis(300);
/// How often a request is tried.
const TRIES: u32 = 6;
/// The pause between two requests on a connection that stays open.
const OPEN_PAUSE: Duration = Duration::from_millis(40);
/// The most turns of a program that ends by itself.
const MAX_TURNS: u64 = 6;
/// The most turns of one that loops: more than any budget has.
const MAX_LOOPS: u64 = 40;

/// What all callers of a run share.
pub(crate) struct Callers<'a> {
    pub(crate) world: &'a SoakWorld,
    pub(crate) seed: u64,
    pub(crate) is_finished: AtomicBool,
    /// While it is set, some callers leave in the middle of answers.
    pub(crate) should_disconnect: AtomicBool,
    pub(crate) history: Mutex<History>,
}

struct Caller<'a> {
    shared: &'a Callers<'a>,
    name: String,
    random: ChaCha8Rng,
    sent: u64,
}

impl Callers<'_> {
    fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }

    fn add(&self, attempt: RequestRecord) {
        lock(&self.history).requests.push(attempt);
    }

    fn caller(&self, name: String) -> Caller<'_> {
        let number: u64 = name.bytes().map(u64::from).sum();
        Caller {
            shared: self,
            random: ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(number)),
            name,
            sent: 0,
        }
    }

    /// Runs programs, one after the other, until the run is over.
    pub(crate) fn run_programs(&self, number: usize) {
        let mut caller = self.caller(format!("p{number}"));
        let mut program: u32 = 0;
        while !self.is_finished() {
            let name = format!("{}-{program}", caller.name);
            // One in four loops until it is stopped.
            let most_turns = if program % 4 == 3 {
                MAX_LOOPS
            } else {
                MAX_TURNS
            };
            caller.run_program(&name, program.is_multiple_of(2), most_turns);
            program += 1;
        }
    }

    /// Sends lookups on connections that stay open to one gateway, until the run is over.
    pub(crate) fn use_open_connections(&self, gateway: usize) {
        let mut caller = self.caller(format!("o{gateway}"));
        while !self.is_finished() {
            caller.use_connection(gateway);
            sleep(OPEN_PAUSE);
        }
    }

    /// Asks which version of the configuration is in force, until the run is over.
    pub(crate) fn poll_config_versions(&self, gateway: usize) {
        let mut caller = self.caller(format!("v{gateway}"));
        while !self.is_finished() {
            let newest = self.world.config_version();
            for version in newest.saturating_sub(1).max(1)..=newest {
                let kind = RequestKind::Version(version);
                caller.send(gateway, "", kind);
            }
            sleep(OPEN_PAUSE);
        }
    }
}

impl Caller<'_> {
    fn run_program(&mut self, program: &str, keeps_context: bool, most_turns: u64) {
        let mut previous: Option<String> = None;
        for _ in 0..self.random.random_range(most_turns / 2..=most_turns) {
            let kind = if keeps_context {
                RequestKind::Chat {
                    previous: previous.clone(),
                }
            } else {
                RequestKind::Draft
            };
            let Some(id) = self.try_often(program, &kind) else {
                return;
            };
            previous = Some(id);
            let tool = if self.random.random_bool(0.5) {
                RequestKind::Lookup
            } else {
                RequestKind::Booking
            };
            let gateway = self.random.random_range(0..GATEWAYS);
            self.send(gateway, program, tool);
        }
    }

    /// Tries a turn until it has ended; none when it failed for good.
    fn try_often(&mut self, program: &str, kind: &RequestKind) -> Option<String> {
        for _ in 0..TRIES {
            if self.shared.is_finished() {
                return None;
            }
            let gateway = self.random.random_range(0..GATEWAYS);
            let (id, status, is_complete) = self.send(gateway, program, kind.clone());
            match status {
                200 if is_complete => return Some(id),
                402 | 404 => return None,
                _ => sleep(MAX_PAUSE.mul_f64(self.random.random_range(0.2..1.0))),
            }
        }
        None
    }

    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("{}r{}", self.name, self.sent)
    }

    fn request(&mut self, program: &str, kind: &RequestKind) -> (String, CallerRequest) {
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
            RequestKind::Lookup => CallerRequest::new("GET", "/look/1", &id),
            RequestKind::Booking => CallerRequest::new("POST", "/book/1", &id),
            RequestKind::Version(version) => {
                CallerRequest::new("GET", &format!("/version-{version}/1"), &id)
            }
        };
        (id, request)
    }

    /// Sends a request on a new connection; its id, its status and whether its answer is complete.
    fn send(&mut self, gateway: usize, program: &str, kind: RequestKind) -> (String, u16, bool) {
        let (id, request) = self.request(program, &kind);
        let before = self.shared.world.gateway_status(gateway);
        let begun = Instant::now();
        let leaves =
            self.shared.should_disconnect.load(Ordering::Relaxed) && self.random.random_bool(0.3);
        let connected = TcpStream::connect(before.callers);
        let is_connected = connected.is_ok();
        let answer = connected.and_then(|mut connection| {
            connection.write_all(&request.bytes())?;
            if leaves {
                sleep(Duration::from_millis(10));
                return Ok(CallerAnswer::default());
            }
            read_answer(&mut connection)
        });
        let after = self.shared.world.gateway_status(gateway);
        let requires_response =
            is_connected && !leaves && is_well(before, after) && !after.is_ending;
        let answer = answer.unwrap_or_default();
        let end = (id.clone(), answer.status, answer.is_complete);
        let whose = (gateway, before.start_count);
        self.add(
            id,
            program,
            kind,
            whose,
            answer,
            requires_response,
            begun.elapsed(),
        );
        end
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one record")]
    fn add(
        &self,
        id: String,
        program: &str,
        kind: RequestKind,
        gateway: (usize, u32),
        answer: CallerAnswer,
        requires_response: bool,
        duration: Duration,
    ) {
        self.shared.add(RequestRecord {
            id,
            program: program.to_owned(),
            kind,
            gateway,
            status: answer.status,
            reports_not_executed: answer.headers.contains_key("retry-after"),
            body: answer.body,
            is_complete: answer.is_complete,
            requires_response,
            duration,
        });
    }

    /// Sends lookups on one connection until it is closed or says that it will be.
    fn use_connection(&mut self, gateway: usize) {
        let Ok(mut connection) =
            TcpStream::connect(self.shared.world.gateway_status(gateway).callers)
        else {
            return;
        };
        let mut is_open = false;
        while !self.shared.is_finished() {
            let (id, request) = self.request("", &RequestKind::Lookup);
            let before = self.shared.world.gateway_status(gateway);
            let begun = Instant::now();
            let sent = connection.write_all(&request.bytes());
            let answer = sent.and_then(|()| read_answer(&mut connection));
            let after = self.shared.world.gateway_status(gateway);
            let answer = answer.unwrap_or_default();
            let closes = answer
                .headers
                .get("connection")
                .is_some_and(|c| c == "close");
            let goes_on = answer.status != 0 && answer.is_complete && !closes;
            // A planned end cuts nothing off on a connection that it has not announced to close.
            let requires_response = is_open && is_well(before, after);
            let whose = (gateway, before.start_count);
            self.add(
                id,
                "",
                RequestKind::Lookup,
                whose,
                answer,
                requires_response,
                begun.elapsed(),
            );
            if !goes_on {
                return;
            }
            is_open = true;
            sleep(OPEN_PAUSE);
        }
    }
}

fn is_well(before: GatewayStatus, after: GatewayStatus) -> bool {
    before.start_count == after.start_count && !before.has_fault && !after.has_fault
}
