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
use crate::platform_caller::{CallerRequest, CallerResponse, read_response};
use crate::soak_history::{Attempt, AttemptKind, BUDGET_TOKENS, History};
use crate::soak_world::{GATEWAYS, GatewayNow, SoakWorld};

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
    pub(crate) is_over: AtomicBool,
    /// While it is set, some callers leave in the middle of answers.
    pub(crate) leave: AtomicBool,
    pub(crate) history: Mutex<History>,
}

struct Caller<'a> {
    shared: &'a Callers<'a>,
    name: String,
    random: ChaCha8Rng,
    sent: u64,
}

impl Callers<'_> {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn add(&self, attempt: Attempt) {
        lock(&self.history).attempts.push(attempt);
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
        while !self.is_over() {
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
    pub(crate) fn keep_open(&self, gateway: usize) {
        let mut caller = self.caller(format!("o{gateway}"));
        while !self.is_over() {
            caller.use_connection(gateway);
            sleep(OPEN_PAUSE);
        }
    }

    /// Asks which version of the configuration is in force, until the run is over.
    pub(crate) fn ask_versions(&self, gateway: usize) {
        let mut caller = self.caller(format!("v{gateway}"));
        while !self.is_over() {
            let newest = self.world.version();
            for version in newest.saturating_sub(1).max(1)..=newest {
                let kind = AttemptKind::Version(version);
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
                AttemptKind::Chat {
                    previous: previous.clone(),
                }
            } else {
                AttemptKind::Draft
            };
            let Some(id) = self.try_often(program, &kind) else {
                return;
            };
            previous = Some(id);
            let tool = if self.random.random_bool(0.5) {
                AttemptKind::Look
            } else {
                AttemptKind::Book
            };
            let gateway = self.random.random_range(0..GATEWAYS);
            self.send(gateway, program, tool);
        }
    }

    /// Tries a turn until it has ended; none when it failed for good.
    fn try_often(&mut self, program: &str, kind: &AttemptKind) -> Option<String> {
        for _ in 0..TRIES {
            if self.shared.is_over() {
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

    fn request(&mut self, program: &str, kind: &AttemptKind) -> (String, CallerRequest) {
        let id = self.next_id();
        let budget = BUDGET_TOKENS.to_string();
        let turn = |path: &str| {
            let turn = CallerRequest::turn(path, &id, program, &id);
            turn.with("Token-Budget", &budget)
        };
        let request = match kind {
            AttemptKind::Chat { previous: None } => turn("/chat/1"),
            AttemptKind::Chat {
                previous: Some(previous),
            } => turn("/chat/1").with("Previous-Turn", previous),
            AttemptKind::Draft => turn("/draft/1"),
            AttemptKind::Look => CallerRequest::new("GET", "/look/1", &id),
            AttemptKind::Book => CallerRequest::new("POST", "/book/1", &id),
            AttemptKind::Version(version) => {
                CallerRequest::new("GET", &format!("/version-{version}/1"), &id)
            }
        };
        (id, request)
    }

    /// Sends a request on a new connection; its id, its status and whether its answer is complete.
    fn send(&mut self, gateway: usize, program: &str, kind: AttemptKind) -> (String, u16, bool) {
        let (id, request) = self.request(program, &kind);
        let before = self.shared.world.gateway(gateway);
        let begun = Instant::now();
        let leaves = self.shared.leave.load(Ordering::Relaxed) && self.random.random_bool(0.3);
        let connected = TcpStream::connect(before.callers);
        let is_connected = connected.is_ok();
        let answer = connected.and_then(|mut connection| {
            connection.write_all(&request.bytes())?;
            if leaves {
                sleep(Duration::from_millis(10));
                return Ok(CallerResponse::default());
            }
            read_response(&mut connection)
        });
        let after = self.shared.world.gateway(gateway);
        let is_owed = is_connected && !leaves && is_well(before, after) && !after.is_ending;
        let answer = answer.unwrap_or_default();
        let end = (id.clone(), answer.status, answer.is_complete);
        let whose = (gateway, before.start);
        self.add(id, program, kind, whose, answer, is_owed, begun.elapsed());
        end
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one record")]
    fn add(
        &self,
        id: String,
        program: &str,
        kind: AttemptKind,
        gateway: (usize, u32),
        answer: CallerResponse,
        is_owed: bool,
        took: Duration,
    ) {
        self.shared.add(Attempt {
            id,
            program: program.to_owned(),
            kind,
            gateway,
            status: answer.status,
            says_not_run: answer.headers.contains_key("retry-after"),
            body: answer.body,
            is_complete: answer.is_complete,
            is_owed,
            took,
        });
    }

    /// Sends lookups on one connection until it is closed or says that it will be.
    fn use_connection(&mut self, gateway: usize) {
        let Ok(mut connection) = TcpStream::connect(self.shared.world.gateway(gateway).callers)
        else {
            return;
        };
        let mut is_open = false;
        while !self.shared.is_over() {
            let (id, request) = self.request("", &AttemptKind::Look);
            let before = self.shared.world.gateway(gateway);
            let begun = Instant::now();
            let sent = connection.write_all(&request.bytes());
            let answer = sent.and_then(|()| read_response(&mut connection));
            let after = self.shared.world.gateway(gateway);
            let answer = answer.unwrap_or_default();
            let closes = answer
                .headers
                .get("connection")
                .is_some_and(|c| c == "close");
            let goes_on = answer.status != 0 && answer.is_complete && !closes;
            // A planned end cuts nothing off on a connection that it has not announced to close.
            let is_owed = is_open && is_well(before, after);
            let whose = (gateway, before.start);
            self.add(
                id,
                "",
                AttemptKind::Look,
                whose,
                answer,
                is_owed,
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

fn is_well(before: GatewayNow, after: GatewayNow) -> bool {
    before.start == after.start && !before.has_troubles && !after.has_troubles
}
