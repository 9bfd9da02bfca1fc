//! Tests that names with odd characters, of entries and of callers' programs, keep no gateway from reading the
//! lists and cost no other caller a turn.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::CallerRequest;
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, PlatformRun, wait_until};

/// The path of reads of the newest records.
const PAGE_PATH: &str = "/clementinepick/log-newest";
/// Parts of names that stand for something else in a target, or may not be in one.
const ODD_PARTS: [&str; 26] = [
    "&",
    "&&&&",
    "&after=a",
    "&part=7",
    "&Topic=keyed.op",
    "#",
    "?",
    "%",
    "%4",
    "%zz",
    "%41",
    "%00",
    "+",
    " ",
    "\"",
    "'",
    "<",
    "\\",
    "/../",
    "\r\n",
    "\0",
    "\t",
    "\u{7f}",
    "é",
    "漢字",
    "\u{10ffff}",
];
/// An entry that names no server.
const UNREADABLE: &str = "{}";

/// Returns names with each odd part at the start, in the middle and at the end, and some of the maximum length.
fn odd_names() -> Vec<String> {
    let names = ODD_PARTS.iter().flat_map(|odd| {
        let long = odd.repeat(255 / odd.len());
        [
            format!("{odd}m"),
            format!("m{odd}m"),
            format!("m{odd}"),
            long,
        ]
    });
    names.collect()
}

/// Sends a request of each kind to a gateway; returns the statuses.
fn send_all(run: &PlatformRun, gateway: usize) -> Vec<u16> {
    let id: u64 = rand::random();
    let requests = [
        CallerRequest::turn("/chat/1", &format!("{id:x}-c"), &format!("{id:x}"), "x"),
        CallerRequest::turn("/draft/1", &format!("{id:x}-d"), &format!("{id:x}"), "x"),
        CallerRequest::new("GET", "/look/1", &format!("{id:x}-l")),
        CallerRequest::new("POST", "/book/1", &format!("{id:x}-b")),
    ];
    let statuses = requests.map(|request| {
        let response = request.send(run.callers(gateway));
        response.map_or(0, |response| response.status)
    });
    statuses.to_vec()
}

/// Starts a gateway before a list in which `name` ends a page; returns what went wrong.
fn start_with_name_at_page_end(name: &str, entry: &str) -> Result<(), String> {
    let mut run = PlatformRun::start(0).map_err(|err| err.to_string())?;
    run.store.put("keyed.servers", name, entry);
    let mut names = run.store.keys("keyed.servers");
    names.sort();
    let place = names.iter().position(|listed| listed == name);
    run.store.set_page_items(place.ok_or("not listed")? + 1);
    run.add_gateway().map_err(|_| "not ready".to_owned())?;
    let statuses = send_all(&run, 0);
    let malformed = run.store.count_malformed();
    let is_served = statuses.iter().all(|status| *status == 200) && malformed == 0;
    is_served
        .then_some(())
        .ok_or_else(|| format!("{statuses:?}, {malformed} malformed"))
}

/// Runs a check for each name, a few at a time; returns those that failed, with the reason.
fn failures(
    names: &[String],
    check: impl Fn(&str) -> Result<(), String> + Sync,
) -> Vec<(String, String)> {
    const AT_ONCE: usize = 8;
    let failed = |name: &String| Some((name.clone(), check(name).err()?));
    thread::scope(|scope| {
        let parts = names.chunks(names.len().div_ceil(AT_ONCE));
        let parts: Vec<_> = parts
            .map(|part| scope.spawn(|| part.iter().filter_map(failed).collect::<Vec<_>>()))
            .collect();
        let parts = parts.into_iter().map(|part| part.join().expect("a check"));
        parts.flatten().collect()
    })
}

/// Guards against an entry under an odd name that keeps each gateway which starts from reading the list.
#[test]
fn a_list_with_an_odd_name_at_the_end_of_a_page_is_read() {
    let failed = failures(&odd_names(), |name| {
        start_with_name_at_page_end(name, UNREADABLE)
    });
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}

/// Sends requests while a server is also listed under another name; returns what went wrong.
fn send_beside_copy(name: &str, service: &str) -> Result<(), String> {
    let backend = PlatformBackend::start(BackendSettings::default());
    let backend = backend.map_err(|err| err.to_string())?;
    start_with_name_at_page_end(name, &backend.entry(service, "ready"))?;
    let (runs, unnamed) = (backend.executions().len(), backend.count_unnamed());
    let is_passed_over = runs == 0 && unnamed == 0;
    is_passed_over
        .then_some(())
        .ok_or_else(|| format!("{runs} runs, {unnamed} unnamed requests"))
}

/// Guards against requests to a server that don't name it, and which any server would run.
#[test]
fn a_server_under_an_odd_name_runs_no_request() {
    let names: Vec<String> = ODD_PARTS.iter().map(|odd| format!("m{odd}m")).collect();
    let failed = failures(&names, |name| {
        send_beside_copy(name, PLAIN_SERVICE)?;
        send_beside_copy(name, MODEL_SERVICE)
    });
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}

/// Sends requests to servers that all have odd names; returns what went wrong.
fn send_to_odd_servers(odd: &str) -> Result<(), String> {
    let mut run = PlatformRun::start(0).map_err(|err| err.to_string())?;
    let servers = run.engines.iter().map(|server| (server, MODEL_SERVICE));
    let servers = servers.chain(run.plains.iter().map(|server| (server, PLAIN_SERVICE)));
    for (number, (server, service)) in servers.enumerate() {
        let id = format!("s{odd}{number}");
        server.configure(|settings| settings.id.clone_from(&id));
        run.store
            .put("keyed.servers", &id, &server.entry(service, "ready"));
    }
    for id in ["e-1", "e-2", "p-1", "p-2"] {
        run.store.remove("keyed.servers", id);
    }
    run.store.set_page_items(1);
    run.add_gateway().map_err(|_| "not ready".to_owned())?;
    let statuses = send_all(&run, 0);
    let is_served = statuses.iter().all(|status| *status == 200);
    is_served
        .then_some(())
        .ok_or_else(|| format!("{statuses:?}"))
}

/// Guards against servers that are not used because of their ids.
#[test]
fn servers_with_odd_ids_are_used() {
    let odd = ODD_PARTS
        .iter()
        .filter(|odd| !odd.chars().any(char::is_control));
    let odd: Vec<String> = odd.map(ToString::to_string).collect();
    let failed = failures(&odd, send_to_odd_servers);
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}

/// Returns how many of `count` programs go on after the loss of all gateways and of the history, and how many
/// pages are read for that.
fn programs_that_go_on(count: usize, program: impl Fn(usize) -> String) -> (usize, u64) {
    const GATEWAYS: usize = 3;
    let mut run = PlatformRun::start(GATEWAYS).expect("gateways");
    let turn = |run: &PlatformRun, number: usize, turn: usize| {
        let id = format!("r{number}-{turn}");
        let request = CallerRequest::turn("/draft/1", &id, &program(number), &id);
        let request = request.with("Token-Budget", "400");
        let response = request.send(run.callers(number % GATEWAYS));
        response.is_ok_and(|response| response.status == 200)
    };
    let started = (0..count).filter(|number| turn(&run, *number, 0)).count();
    assert_eq!(started, count);
    run.gateways.clear();
    run.store.discard_history();
    run.store.set_page_items(4);
    let reads_before = run.store.calls(PAGE_PATH);
    for _ in 0..GATEWAYS {
        run.add_gateway().expect("a gateway");
    }
    let going_on = (0..count).filter(|number| turn(&run, *number, 1)).count();
    assert_eq!(run.store.count_malformed(), 0);
    (going_on, run.store.calls(PAGE_PATH) - reads_before)
}

/// Guards against a caller whose ids cost others their turns, and the store reads without end.
#[test]
fn odd_program_ids_cost_no_turn() {
    const PROGRAMS: usize = 64;
    const ODD: [&str; 6] = [" x", " &+#%=?/{\"<", "&", "#", "+", "%20"];
    let odd_id = |odd: &str, number: usize| match number % 2 {
        0 => format!("p{number}"),
        _ => format!("o{odd}{number}"),
    };
    thread::scope(|scope| {
        let plain = scope.spawn(|| programs_that_go_on(PROGRAMS, |number| format!("p{number}")));
        let odd = ODD.map(|odd| {
            scope.spawn(move || programs_that_go_on(PROGRAMS, |number| odd_id(odd, number)))
        });
        let (going_on, plain_reads) = plain.join().expect("a run");
        assert_eq!(going_on, PROGRAMS);
        for (odd, run) in ODD.iter().zip(odd) {
            let (going_on, reads) = run.join().expect("a run");
            assert_eq!(going_on, PROGRAMS, "{odd}");
            let is_bounded = reads <= 2 * plain_reads;
            assert!(
                is_bounded,
                "{odd}: {reads} reads, {plain_reads} with plain ids"
            );
        }
    });
}

/// Guards against a program whose slices take the keys of other records, by which tokens would be spent twice.
#[test]
fn slices_of_any_program_have_keys_of_their_own() {
    let long = "x".repeat(300);
    let mut programs = vec!["home", "slice", "home/x/1", "h_0", "!", long.as_str()];
    programs.extend(
        ODD_PARTS
            .iter()
            .filter(|odd| odd.trim() == **odd && odd.is_ascii()),
    );
    programs.retain(|program| !program.chars().any(char::is_control));
    let mut run = PlatformRun::start(1).expect("a gateway");
    for (number, program) in programs.iter().enumerate() {
        let request = CallerRequest::turn("/draft/1", &format!("r{number}"), program, "x");
        let response = request.with("Token-Budget", "400").send(run.callers(0));
        assert_eq!(response.expect("a response").status, 200, "{program}");
    }
    run.gateways.clear();
    let keys = run.store.keys("keyed.budgets");
    let slices = keys.iter().filter(|key| key.starts_with("slice/")).count();
    assert!(slices >= programs.len(), "{slices}: {keys:#?}");
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "/_-".contains(c);
    assert!(
        keys.iter().all(|key| key.chars().all(is_plain)),
        "{keys:#?}"
    );
}

/// Guards against a record under an odd name in a topic of the gateways, or beside the configuration, that keeps a
/// gateway from starting or a conversation from going on.
#[test]
fn odd_names_in_any_topic_cost_no_conversation() {
    const PARTITIONS: u32 = 24;
    const PROGRAMS: usize = 8;
    let topics = [
        "op",
        "processes",
        "budgets0",
        "budgets1",
        "budgets2",
        "budgets3",
        "turns0",
        "turns1",
    ];
    let mut run = PlatformRun::start(1).expect("a gateway");
    let turn = |run: &PlatformRun, number: usize, turn: usize| {
        let id = format!("r{number}-{turn}");
        let request = CallerRequest::turn("/chat/1", &id, &format!("p{number}"), "x");
        let request = match turn {
            0 => request,
            _ => request.with("Previous-Turn", &format!("r{number}-{}", turn - 1)),
        };
        let response = request.with("Token-Budget", "400").send(run.callers(0));
        response.expect("a response").status
    };
    assert!((0..PROGRAMS).all(|number| turn(&run, number, 0) == 200));
    for topic in topics.map(|name| format!("keyed.{name}")) {
        for partition in 0..PARTITIONS {
            for odd in ODD_PARTS {
                run.store
                    .put_in(&topic, partition, &format!("m{odd}"), b"{}");
            }
        }
    }
    run.gateways.clear();
    run.store.discard_history();
    run.store.set_page_items(1);
    run.add_gateway().expect("a gateway");
    for number in 0..PROGRAMS {
        assert_eq!(turn(&run, number, 1), 200, "{number}");
    }
    assert_eq!(run.store.count_malformed(), 0);
}

/// A log in memory.
#[derive(Debug, Clone, Default)]
struct SharedLog(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a log").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against names and texts of entries that break a line of the log, or take the place of all others.
#[test]
fn odd_entries_leave_the_log_whole() {
    /// What a log may grow by in a second.
    const MAX_LINE_BYTES: usize = 32_768;
    let mut run = PlatformRun::start(0).expect("a store");
    let entry = run.plains[0].entry("unused", "ready");
    let controls = json!("\u{1}".repeat(200_000)).to_string();
    let with = |field: &str, value: &str| {
        let mut entry: Value = serde_json::from_str(&entry).expect("an entry");
        entry[field] = serde_json::from_str(value).expect("a value");
        entry.to_string()
    };
    let texts =
        ["Service", "Address", "Version", "State", "Slots"].map(|field| with(field, &controls));
    for (number, text) in texts.iter().enumerate() {
        run.store
            .put("keyed.servers", &format!("long-{number}"), text);
    }
    let names = odd_names();
    for name in &names {
        run.store.put("keyed.servers", name, UNREADABLE);
    }
    let log = SharedLog::default();
    run.add_logging_gateway(log.clone()).expect("a gateway");
    let logged = || {
        let log = log.0.lock().expect("a log");
        String::from_utf8(log.clone()).expect("text")
    };
    let lines = |log: &str| -> Vec<Value> {
        let lines = log.lines().map(|line| {
            assert!(
                line.len() <= MAX_LINE_BYTES,
                "a line of {} bytes",
                line.len()
            );
            serde_json::from_str(line).expect("a line in JSON")
        });
        lines.collect()
    };
    let count_named = || {
        let lines = lines(&logged());
        let unreadable = lines
            .iter()
            .filter(|line| line["msg"] == "server_entry_unreadable");
        let servers: BTreeSet<String> = unreadable.map(|line| line["server"].to_string()).collect();
        servers.len()
    };
    let expected: BTreeSet<&String> = names.iter().collect();
    // Three of the long fields are in an entry that can't be used.
    let all = expected.len() + 3;
    let is_logged = wait_until(|| logged().ends_with('\n') && count_named() >= all);
    assert!(is_logged.is_ok(), "{} of {all}", count_named());
}
