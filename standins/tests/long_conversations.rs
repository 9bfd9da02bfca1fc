//! Tests the memory of a gateway, and the service of its callers, while many long conversations go on at
//! once.

use std::sync::Barrier;
use std::thread::{self, ScopedJoinHandle};
use std::time::{Duration, Instant};

use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{MODEL_SERVICE, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;

/// The memory of the smallest VM, in bytes.
const VM_MEMORY_BYTES: u64 = 88_000_000;
/// The conversations, and the size of the document with which each begins.
const CONVERSATIONS: usize = 120;
const DOCUMENT_BYTES: usize = 400_000;
/// The number of conversations that begin at the same time, of which all documents fit the memory for bodies.
const BEGIN_AT_ONCE: usize = 8;
/// The engines.
const ENGINES: usize = 4;
/// The events of a turn, and the pause before each while all conversations go on.
const EVENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(60);
/// The limit for a refusal.
const PROMPT: Duration = Duration::from_secs(1);
/// The times that a caller sends a turn that is refused.
const TRIES: usize = 40;

struct Run {
    gateways: ProcessGateways,
    engines: Vec<PlatformBackend>,
    _store: PlatformStore,
}

impl Run {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        let patient = config(1)
            .replace(r#""MaxBodyBytes":100000"#, r#""MaxBodyBytes":4194304"#)
            .replace(r#""MaxConns":50"#, r#""MaxConns":500"#)
            .replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":20000"#)
            .replace(r#""TargetLatencyMs":100"#, r#""TargetLatencyMs":5000"#)
            .replace(r#""GapTargetMs":150"#, r#""GapTargetMs":5000"#);
        store.put("keyed.op", "config", &patient);
        let start = |number: usize| {
            let id = format!("e-{number}");
            let settings = BackendSettings {
                id: id.clone(),
                events: EVENTS,
                ..BackendSettings::default()
            };
            let engine = PlatformBackend::start(settings).expect("an engine");
            store.put("keyed.servers", &id, &engine.entry(MODEL_SERVICE, "ready"));
            engine
        };
        let engines = (0..ENGINES).map(start).collect();
        Self {
            gateways: ProcessGateways::start(name, 1, &store).expect("a gateway"),
            engines,
            _store: store,
        }
    }

    /// Begins all conversations, each with its document.
    fn begin(&self) {
        let numbers: Vec<usize> = (0..CONVERSATIONS).collect();
        for numbers in numbers.chunks(BEGIN_AT_ONCE) {
            thread::scope(|scope| {
                for number in numbers {
                    scope.spawn(move || {
                        let response = self.send(*number, 0, &document(*number));
                        assert_eq!(response.status, 200, "the first turn of {number}");
                    });
                }
            });
        }
    }

    fn send(&self, conversation: usize, turn: usize, body: &str) -> CallerResponse {
        let id = turn_id(conversation, turn);
        let request = CallerRequest::turn("/chat/1", &id, &format!("p{conversation}"), body);
        let request = if turn > 0 {
            request.with("Previous-Turn", &turn_id(conversation, turn - 1))
        } else {
            request
        };
        request.send(self.gateways.callers(0)).expect("a response")
    }

    /// Goes on with all conversations at once; returns the responses in their order.
    fn go_on(&self, turn: usize) -> Vec<(CallerResponse, Duration)> {
        let start = Barrier::new(CONVERSATIONS);
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CONVERSATIONS)
                .map(|number| {
                    let start = &start;
                    scope.spawn(move || {
                        start.wait();
                        let sent_at = Instant::now();
                        let response = self.send(number, turn, "on");
                        (response, sent_at.elapsed())
                    })
                })
                .collect();
            let joined = callers.into_iter().map(ScopedJoinHandle::join);
            joined.map(|response| response.expect("a caller")).collect()
        })
    }

    fn check_memory(&self) {
        let peak_bytes = self.gateways.processes[0].peak_memory_bytes();
        let peak_bytes = peak_bytes.expect("a process that runs");
        assert!(peak_bytes < VM_MEMORY_BYTES, "{peak_bytes} bytes");
    }
}

fn document(conversation: usize) -> String {
    let text = format!("{conversation:04}");
    text.repeat(DOCUMENT_BYTES / text.len())
}

fn turn_id(conversation: usize, turn: usize) -> String {
    format!("t{conversation}-{turn}")
}

/// Guards against a process that is ended since the chains of its running turns, and their copies, are
/// within no limit.
#[test]
fn conversations_that_go_on_at_once_stay_within_the_memory() {
    let run = Run::start("long-conversations");
    run.begin();
    for engine in &run.engines {
        engine.configure(|settings| settings.pause = PAUSE);
    }
    let mut served = 0;
    for (response, took) in run.go_on(1) {
        if response.status == 200 {
            assert!(response.is_complete);
            served += 1;
        } else {
            assert_eq!(response.status, 503, "{response:?}");
            assert!(response.headers.contains_key("retry-after"));
            assert!(took < PROMPT, "refused after {took:?}");
        }
    }
    assert!(served >= CONVERSATIONS / 4, "{served} turns");
    run.check_memory();
}

/// Guards against conversations that are refused for good since others take their memory.
#[test]
fn all_long_conversations_go_on() {
    let run = Run::start("long-conversations-on");
    run.begin();
    for turn in 1..3 {
        let responses = run.go_on(turn);
        for (number, (first, _)) in responses.into_iter().enumerate() {
            let mut response = first;
            let mut tries = 1;
            while response.status != 200 {
                assert!(tries < TRIES, "{number}: {response:?}");
                tries += 1;
                response = run.send(number, turn, "on");
            }
        }
    }
    run.check_memory();
    let prompts = run.engines.iter().flat_map(PlatformBackend::executions);
    let mut last = prompts.filter(|execution| execution.id == turn_id(7, 2));
    let prompt = last.next().expect("a turn that ran").request.body;
    assert!(prompt.starts_with(document(7).as_bytes()), "the document");
    assert!(prompt.ends_with(b"on"), "the input");
}
