//! Tests that conversations go on after the loss of the gateways that have them in memory.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clementinepick::turn_chain::TurnRecord;
use standins::platform_backend::{BackendSettings, PlatformBackend, body_text, event_data};
use standins::platform_caller::{CallerRequest, CallerResponse};
use standins::platform_run::{MODEL_SERVICE, PlatformRun, config};
use standins::platform_store::PlatformStore;
use standins::process_gateways::ProcessGateways;
use standins::soak_process::wait_for_exit;

/// The path of reads of turns.
const NEWEST_PATH: &str = "/clementinepick/log-newest";
/// The events of a turn.
const EVENTS: u64 = 2;
/// The number of turns in a long conversation.
const LONG_TURNS: usize = 400;
/// How long the store takes for each answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// The tries of a caller at one turn, at most.
const TRIES: usize = 5;
/// The pause before each further try.
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// A conversation of a program of its own.
struct Conversation {
    program: String,
    turns: usize,
    /// What an engine must receive before the next input.
    history: String,
    /// What each input contains beside its number.
    padding: String,
}

impl Conversation {
    fn new(number: usize) -> Self {
        Self {
            program: format!("program-{number}"),
            turns: 0,
            history: String::new(),
            padding: String::new(),
        }
    }

    fn turn_id(&self, number: usize) -> String {
        format!("{}-{number}", self.program)
    }

    fn input(&self, number: usize) -> String {
        format!("input {number} of {}{}\n", self.program, self.padding)
    }

    fn next(&self, attempt: &str) -> CallerRequest {
        let number = self.turns + 1;
        let id = self.turn_id(number) + attempt;
        let input = self.input(number);
        let turn = CallerRequest::turn("/chat/1", &id, &self.program, &input)
            .with("Token-Budget", "1000000");
        if self.turns == 0 {
            turn
        } else {
            turn.with("Previous-Turn", &self.turn_id(self.turns))
        }
    }

    /// Adds a turn that was answered whole.
    fn record(&mut self) {
        self.turns += 1;
        let id = self.turn_id(self.turns);
        self.history.push_str(&self.input(self.turns));
        for number in 1..=EVENTS {
            self.history += &event_data(&id, number);
            self.history.push('\n');
        }
    }
}

/// Gateways as processes, a store and an engine.
struct Run {
    gateways: ProcessGateways,
    store: PlatformStore,
    engine: PlatformBackend,
}

impl Run {
    fn start(name: &str, gateways: usize) -> Self {
        let store = PlatformStore::default();
        let engine = start_engine(&store);
        let config = config(1).replace("\"MaxConns\":50", "\"MaxConns\":300");
        store.put("keyed.op", "config", &config);
        store.set_delay(STORE_DELAY);
        let gateways = ProcessGateways::start(name, gateways, &store).expect("gateways");
        Self {
            gateways,
            store,
            engine,
        }
    }

    fn converse(&self, gateway: usize, turns: usize, conversation: &mut Conversation) {
        for _ in 0..turns {
            let response = conversation.next("").send(self.gateways.callers(gateway));
            assert!(is_whole(&response), "{response:?}");
            conversation.record();
        }
    }

    /// Tries a turn until it is served, and checks what the engine received for it; returns the
    /// number of tries.
    fn go_on(&self, gateway: usize, tries: usize, conversation: &Conversation) -> usize {
        for number in 1..=tries {
            let request = conversation.next(&format!("-g{gateway}-try{number}"));
            let response = request.send(self.gateways.callers(gateway));
            if is_whole(&response) {
                let expected = conversation.history.clone() + &request.body;
                assert_eq!(prompt(&self.engine, &id_of(&request)), expected);
                return number;
            }
            let status = response.as_ref().map(|response| response.status).ok();
            assert!(!matches!(status, Some(404 | 410)), "{response:?}");
            thread::sleep(TRY_PAUSE);
        }
        panic!("{tries} tries at gateway {gateway} were not served");
    }

    fn restart(&mut self, gateway: usize) {
        let process = &mut self.gateways.processes[gateway];
        process.restart().expect("a process");
        self.gateways
            .wait_until_ready(gateway)
            .expect("a gateway that is ready");
    }
}

fn start_engine(store: &PlatformStore) -> PlatformBackend {
    let settings = BackendSettings {
        id: "e-1".to_owned(),
        events: EVENTS,
        pause: Duration::from_millis(1),
        ..BackendSettings::default()
    };
    let engine = PlatformBackend::start(settings).expect("a free port");
    let entry = engine.entry(MODEL_SERVICE, "ready");
    store.put(
        "keyed.servers",
        "e-1",
        &entry.replace("\"Slots\":8", "\"Slots\":200"),
    );
    engine
}

fn is_whole(response: &io::Result<CallerResponse>) -> bool {
    let response = response.as_ref();
    response.is_ok_and(|response| response.status == 200 && response.is_complete)
}

fn id_of(request: &CallerRequest) -> String {
    let mut headers = request.headers.iter();
    let id = headers.find(|(name, _)| name == "Request-Id");
    id.expect("an id").1.clone()
}

fn prompt(engine: &PlatformBackend, id: &str) -> String {
    let executions = engine.executions();
    let execution = executions.iter().find(|execution| execution.id == id);
    execution.map_or_else(String::new, |e| body_text(&e.request.body))
}

/// A chain of records that is read one by one takes longer than a caller waits.
#[test]
fn a_long_conversation_goes_on_after_a_planned_restart_of_its_gateway() {
    let mut run = Run::start("recovery-term", 2);
    let mut conversation = Conversation::new(1);
    run.converse(0, LONG_TURNS, &mut conversation);
    let child = run.gateways.processes[0].terminate().expect("a process");
    wait_for_exit(child).expect("an exit status");
    run.restart(0);
    run.go_on(0, TRIES, &conversation);
    run.go_on(1, TRIES, &conversation);
}

/// A chain of records that is read one by one takes longer than a caller waits.
#[test]
fn a_long_conversation_goes_on_after_a_kill_of_its_gateway() {
    let mut run = Run::start("recovery-kill", 2);
    let mut conversation = Conversation::new(1);
    run.converse(0, LONG_TURNS, &mut conversation);
    run.gateways.processes[0].kill();
    run.go_on(1, TRIES, &conversation);
    run.restart(0);
    run.go_on(0, TRIES, &conversation);
}

/// A record that holds the text of many turns may exceed the size of one record.
#[test]
fn a_long_conversation_of_large_turns_goes_on_after_the_loss_of_its_gateway() {
    const TURNS: usize = 70;
    const INPUT_BYTES: usize = 20_000;
    let mut run = Run::start("recovery-large", 1);
    let mut conversation = Conversation {
        padding: "x".repeat(INPUT_BYTES),
        ..Conversation::new(1)
    };
    run.converse(0, TURNS, &mut conversation);
    let is_part = |key: &String| key.contains('!');
    assert!(run.store.keys("keyed.turns").iter().any(is_part));
    run.gateways.processes[0].kill();
    run.restart(0);
    run.go_on(0, TRIES, &conversation);
}

/// Gateways that read the same records again and again exhaust the store's limit of reads, so that
/// no conversation goes on.
#[test]
fn many_conversations_go_on_after_the_loss_of_all_gateways() {
    const CONVERSATIONS: usize = 120;
    const TURNS: usize = 40;
    const GATEWAYS: usize = 3;
    const READS_PER_S: u32 = 400;
    const WORKERS: usize = 12;
    const MANY_TRIES: usize = 30;
    let mut run = Run::start("recovery-all", GATEWAYS);
    let mut workers: Vec<Vec<Conversation>> = (0..WORKERS).map(|_| Vec::new()).collect();
    for number in 0..CONVERSATIONS {
        workers[number % WORKERS].push(Conversation::new(number));
    }
    thread::scope(|scope| {
        for (number, worker) in workers.iter_mut().enumerate() {
            let run = &run;
            scope.spawn(move || {
                for conversation in worker {
                    run.converse(number % GATEWAYS, TURNS, conversation);
                }
            });
        }
    });
    for process in &mut run.gateways.processes {
        process.kill();
    }
    for gateway in 0..GATEWAYS {
        run.restart(gateway);
    }
    run.store.limit_reads(READS_PER_S);
    let reads_before = run.store.calls(NEWEST_PATH);
    let started = Instant::now();
    thread::scope(|scope| {
        for (number, conversation) in workers.iter().flatten().enumerate() {
            let run = &run;
            scope.spawn(move || run.go_on(number % GATEWAYS, MANY_TRIES, conversation));
        }
    });
    let reads = run.store.calls(NEWEST_PATH) - reads_before;
    println!("{reads} reads in {:?}", started.elapsed());
    let records = u64::try_from(CONVERSATIONS * TURNS).expect("a count");
    assert!(reads <= records / 2, "{reads} reads for {records} turns");
}

fn cbor(record: &TurnRecord) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("CBOR");
    bytes
}

/// Returns the id of a stored turn; no other key begins with the same characters but the last.
fn stored_id(number: usize) -> String {
    format!("{number:04}-x")
}

/// Starts a gateway before a store with a chain of turns; each call reads one of them, and the one
/// that follows it.
fn run_with_stored_chain(turns: usize, store_delay: Duration) -> PlatformRun {
    let mut run = PlatformRun::start(0).expect("a platform run");
    let now = std::time::UNIX_EPOCH.elapsed().expect("a time");
    for number in 1..=turns {
        let record = TurnRecord {
            parent: (number > 1).then(|| stored_id(number - 1)),
            server: None,
            recorded_unix_ms: u64::try_from(now.as_millis()).expect("a time"),
            retain_ms: 60_000,
            input_bytes: 1,
            parts: 0,
            turns: 1,
            body: "io".into(),
        };
        let key = stored_id(number);
        run.store.put_bytes("keyed.turns0", &key, &cbor(&record));
    }
    run.store.set_page_items(2);
    let added = run.add_gateway_with(|settings| {
        settings.ledger.turn_topics = 1;
        settings.ledger.partitions = 1;
    });
    added.expect("a gateway");
    run.store.set_delay(store_delay);
    run
}

fn continue_stored(run: &PlatformRun, previous: &str, id: &str) -> u16 {
    let turn = CallerRequest::turn("/chat/1", id, id, "x")
        .with("Token-Budget", "1000")
        .with("Previous-Turn", previous);
    turn.send(run.callers(0)).expect("a response").status
}

/// A chain that cannot be read within one try is read by none if each try begins anew.
#[test]
fn what_a_try_has_read_serves_the_next_one() {
    const TURNS: usize = 300;
    let run = run_with_stored_chain(TURNS, Duration::from_millis(15));
    let reads_before = run.store.calls(NEWEST_PATH);
    let mut tries = (1..=8).map(|number| {
        thread::sleep(TRY_PAUSE);
        continue_stored(&run, &stored_id(TURNS), &format!("try-{number}"))
    });
    assert!(tries.any(|status| status == 200), "no try was served");
    let reads = run.store.calls(NEWEST_PATH) - reads_before;
    let most = u64::try_from(TURNS + TURNS / 4).expect("a count");
    assert!(reads <= most, "{reads} reads for {TURNS} records");
}

/// Sub-agents continue from the same turn at the same time; each reading the chain for itself
/// multiplies the load on the store.
#[test]
fn requests_for_the_same_chain_share_one_read() {
    const TURNS: usize = 60;
    let run = Arc::new(run_with_stored_chain(TURNS, Duration::from_millis(2)));
    let reads_before = run.store.calls(NEWEST_PATH);
    let turns: Vec<_> = (0..8)
        .map(|number| {
            let run = Arc::clone(&run);
            thread::spawn(move || {
                continue_stored(&run, &stored_id(TURNS), &format!("agent-{number}"))
            })
        })
        .collect();
    for turn in turns {
        assert_eq!(turn.join().expect("a status"), 200);
    }
    let reads = run.store.calls(NEWEST_PATH) - reads_before;
    let most = u64::try_from(TURNS + TURNS / 2).expect("a count");
    assert!(reads <= most, "{reads} reads for {TURNS} records");
}

/// While many chains are read, partitions are read from their start; one that has more records than
/// a response has been read only in part then.
#[test]
fn many_requests_at_once_find_their_turns_or_get_404() {
    const TURNS: usize = 40;
    let run = Arc::new(run_with_stored_chain(TURNS, Duration::from_millis(5)));
    let turns: Vec<_> = (1..=TURNS)
        .map(|number| {
            let run = Arc::clone(&run);
            let is_known = number % 2 == 0;
            let previous = if is_known {
                stored_id(number)
            } else {
                format!("{number:04}-never")
            };
            let id = format!("agent-{number}");
            thread::spawn(move || (is_known, continue_stored(&run, &previous, &id)))
        })
        .collect();
    for turn in turns {
        let (is_known, status) = turn.join().expect("a status");
        assert_eq!(status, if is_known { 200 } else { 404 });
    }
}
