//! Tests that odd entries in the store, and odd bytes from peers, end no gateway and stop none from
//! following the lists. The gateways are processes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::platform_backend::{BackendSettings, PlatformBackend};
use standins::platform_caller::{CallerRequest, read_response};
use standins::platform_run::{MODEL_SERVICE, PLAIN_SERVICE, config, wait_until};
use standins::platform_store::{PlatformStore, StoreMode};
use standins::process_gateways::ProcessGateways;

const GATEWAYS: usize = 2;
/// Deep enough to overflow the stack of a decoder that recurses.
const DEPTH: usize = 500_000;
/// Likewise, within the limit of a record.
const OBJECT_DEPTH: usize = 150_000;
/// The limit for the calls that bring cut responses.
const MAX_CUT_TIME: Duration = Duration::from_mins(1);
/// The partitions of each topic.
const PARTITIONS: u32 = 24;
const SERVER: &str = r#"{"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Version":"v","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}"#;
const PEER_PATHS: [&str; 10] = [
    "/ended/hold",
    "/ended/over",
    "/ended/load",
    "/origins/hold",
    "/origins/find",
    "/reserve",
    "/return",
    "/lend",
    "/turn",
    "/peers/lost",
];

/// Responses that the store never sends.
const FOREIGN: [(u16, &str); 14] = [
    (200, ""),
    (200, "{}"),
    (200, "[]"),
    (200, "null"),
    (200, r#"{"error":"starting"}"#),
    (200, r#"{"Items":[],"End":18446744073709551615}"#),
    (200, "<html>starting</html>"),
    (204, ""),
    (302, ""),
    (400, "{}"),
    (401, ""),
    (404, "not found"),
    (500, "internal error"),
    (502, "<html>bad gateway</html>"),
];

/// Returns texts that are odd entries of servers or configurations.
fn odd_texts() -> Vec<Vec<u8>> {
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let objects = r#"{"a":"#.repeat(OBJECT_DEPTH) + "1" + &"}".repeat(OBJECT_DEPTH);
    let mut texts = vec![nested.clone(), objects.clone(), "[".repeat(DEPTH)];
    for value in [&nested, &objects] {
        texts.push(SERVER.replace(r#""127.0.0.1:9""#, value));
        texts.push(SERVER.replacen('{', &format!(r#"{{"Extra":{value},"#), 1));
        texts.push(format!(r#"{{"Version":9000,"Routes":{value}}}"#));
    }
    for number in ["1e999", "18446744073709551616", "-1"] {
        texts.push(SERVER.replace(r#""Slots":8"#, &format!(r#""Slots":{number}"#)));
        texts.push(SERVER.replace(r#""Seq":1"#, &format!(r#""Seq":{number}"#)));
        texts.push(format!(r#"{{"Version":{number}}}"#));
    }
    for port in ["0", "65536", "99999999999999999999", "-1"] {
        texts.push(SERVER.replace(":9\"", &format!(":{port}\"")));
    }
    let mut texts: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    texts.extend((0..SERVER.len()).map(|length| SERVER.as_bytes()[..length].to_vec()));
    texts.push(vec![0xff; 64]);
    texts
}

fn cbor(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("bytes");
    bytes
}

/// Returns bytes that are odd records or messages of gateways.
fn odd_messages() -> Vec<Vec<u8>> {
    let nested = |start: &[u8], end: &[u8]| [&start.repeat(DEPTH), end].concat();
    let mut messages = vec![
        nested(&[0x81], &[0]),
        nested(&[0x9f], &[]),
        [[0xa1, 0x61, b'a'].repeat(OBJECT_DEPTH), vec![0]].concat(),
        nested(&[0xc1], &[0]),
        vec![0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0xff; 32],
        Vec::new(),
    ];
    let server = json!({"i": "plain-0", "b": u64::MAX, "a": "127.0.0.1:0"});
    let end = json!({"s": server, "g": u64::MAX, "t": "Ended"});
    let run = json!({"r": u64::MAX, "s": server, "o": true, "k": u64::MAX});
    for key in [
        json!("0"),
        json!(vec![0; 16]),
        json!(u64::MAX),
        json!([u64::MAX, u64::MAX]),
    ] {
        let request = json!({"k": key, "e": vec![&end; 3], "r": vec![&run; 3]});
        messages.push(cbor(&json!([request])));
        messages.push(cbor(
            &json!({"k": key, "s": server, "t": "Ended", "l": u64::MAX}),
        ));
        let recorded = json!({"k": key, "r": 1, "o": true, "s": server, "e": u64::MAX});
        messages.push(cbor(&json!({"w": u64::MAX, "r": [recorded]})));
        messages.push(cbor(&json!({"w": 0, "r": [recorded]})));
    }
    for port in [0, 9] {
        let address = format!("127.0.0.1:{port}");
        messages.push(cbor(&json!({"a": address, "i": "odd", "w": u64::MAX})));
        messages.push(cbor(&json!({"a": address})));
    }
    messages.push(cbor(
        &json!({"s": "models", "v": "odd", "f": u64::MAX, "u": u64::MAX}),
    ));
    messages
}

struct OddRun {
    store: PlatformStore,
    gateways: ProcessGateways,
    servers: Vec<PlatformBackend>,
}

impl OddRun {
    fn start(name: &str) -> Self {
        let store = PlatformStore::default();
        store.put("keyed.op", "config", &config(1));
        let gateways = ProcessGateways::start(&format!("odd-{name}"), GATEWAYS, &store);
        let mut run = Self {
            store,
            gateways: gateways.expect("gateways"),
            servers: Vec::new(),
        };
        run.start_server("first");
        run
    }

    fn start_server(&mut self, name: &str) {
        for service in [MODEL_SERVICE, PLAIN_SERVICE] {
            let id = format!("{service}-{name}");
            let settings = BackendSettings {
                id: id.clone(),
                ..BackendSettings::default()
            };
            let server = PlatformBackend::start(settings).expect("a port");
            let entry = server.entry(service, "ready");
            self.store.put("keyed.servers", &id, &entry);
            self.servers.push(server);
        }
    }

    /// Checks that all gateways use a server and a configuration that are new, and serve all kinds of
    /// requests.
    fn assert_following(&mut self, version: u64) {
        self.store.put("keyed.op", "config", &config(version));
        self.start_server(&version.to_string());
        for gateway in 0..GATEWAYS {
            let used = || {
                let state = self.gateways.state(gateway);
                state.is_ok_and(|state| state["config_version"] == json!(version))
            };
            wait_until(used).expect("the new configuration");
        }
        for gateway in 0..GATEWAYS {
            let id = format!("{PLAIN_SERVICE}-{version}");
            let is_listed = || {
                let log = self.gateways.log(gateway);
                log.is_ok_and(|log| log.lines().any(|line| line.contains(&id)))
            };
            wait_until(is_listed).expect("the new server");
            self.send(gateway, version);
        }
        for process in &mut self.gateways.processes {
            assert!(process.is_running(), "a gateway has ended");
        }
    }

    /// Returns how many lines each gateway has logged.
    fn count_lines(&self) -> [usize; GATEWAYS] {
        std::array::from_fn(|gateway| {
            let log = self.gateways.log(gateway).expect("a log");
            log.lines().count()
        })
    }

    fn send(&self, gateway: usize, version: u64) {
        let id: u64 = rand::random();
        let id = format!("{version}-{id}");
        let requests = [
            CallerRequest::turn(&format!("/chat/{id}"), &format!("{id}-t"), &id, "x"),
            CallerRequest::new("GET", &format!("/look/{id}"), &format!("{id}-l")),
        ];
        for request in requests {
            let response = request.send(self.gateways.callers(gateway));
            let response = response.expect("a response");
            assert_eq!(response.status, 200, "{response:?}");
            assert!(response.is_complete, "{response:?}");
        }
    }
}

/// Guards against an entry among those of the servers that ends the gateways or stops them from
/// following the list.
#[test]
fn odd_entries_of_servers_are_passed_over() {
    let mut run = OddRun::start("servers");
    run.assert_following(2);
    for (number, text) in odd_texts().iter().enumerate() {
        let key = format!("odd-{number}");
        run.store.put_bytes("keyed.servers", &key, text);
    }
    run.assert_following(3);
    run.gateways.processes[0].kill();
    run.gateways.processes[0].restart().expect("a process");
    run.gateways.wait_until_ready(0).expect("a gateway");
    run.assert_following(4);
}

/// Guards against a configuration, or another entry beside it, that ends the gateways or stops them
/// from following it.
#[test]
fn odd_configurations_are_passed_over() {
    let mut run = OddRun::start("config");
    run.assert_following(2);
    for (number, text) in odd_texts().iter().enumerate() {
        run.store
            .put_bytes("keyed.op", &format!("odd-{number}"), text);
        run.store.put_bytes("keyed.op", "config", text);
    }
    run.assert_following(9_001);
    run.store.put_bytes("keyed.op", "config", &odd_texts()[0]);
    for gateway in 0..GATEWAYS {
        run.send(gateway, 9_001);
    }
    run.assert_following(9_002);
}

/// Guards against records in the topics of the gateways that end them or keep them from starting.
#[test]
fn odd_records_of_gateways_are_passed_over() {
    let mut run = OddRun::start("records");
    run.assert_following(2);
    let topics = ["processes", "budgets0", "budgets3", "turns0", "turns7"];
    for topic in topics.map(|name| format!("keyed.{name}")) {
        for partition in 0..PARTITIONS {
            for (number, message) in odd_messages().iter().enumerate() {
                for prefix in ["", "e-", "r-", "v-"] {
                    let key = format!("{prefix}odd-{number}");
                    let is_large = message.len() > 10_000;
                    if !is_large || partition < 3 && prefix.len() == 2 {
                        run.store.put_in(&topic, partition, &key, message);
                    }
                }
            }
        }
    }
    run.assert_following(3);
    for gateway in 0..GATEWAYS {
        run.gateways.processes[gateway].kill();
    }
    for gateway in 0..GATEWAYS {
        run.gateways.processes[gateway]
            .restart()
            .expect("a process");
    }
    for gateway in 0..GATEWAYS {
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    run.assert_following(4);
}

fn post(address: SocketAddr, path: &str, body: &[u8]) {
    let mut connection = TcpStream::connect(address).expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    // A gateway may respond before it has read all.
    let _ = connection.write_all(&[head.as_bytes(), body].concat());
    let _ = read_response(&mut connection);
}

/// Guards against messages of peers that end a gateway.
#[test]
fn odd_messages_of_peers_are_rejected() {
    let mut run = OddRun::start("peers");
    run.assert_following(2);
    let peers = run.gateways.processes[0].ports.peers;
    for path in PEER_PATHS {
        for message in odd_messages() {
            post(peers, path, &message);
            for length in [1, message.len() / 2, message.len().saturating_sub(1)] {
                post(peers, path, &message[..length.min(message.len())]);
            }
        }
    }
    run.assert_following(3);
}

/// Guards against a store that, as it starts, sends what a gateway takes for an empty list, and against a gateway
/// that waits for such a store and does not say so.
#[test]
fn foreign_responses_of_the_store_keep_no_gateway_from_starting() {
    let mut run = OddRun::start("foreign");
    run.assert_following(2);
    for (version, (status, body)) in (3..).zip(FOREIGN) {
        for process in &mut run.gateways.processes {
            process.kill();
        }
        let mode = StoreMode::Foreign { status, body };
        run.gateways.set_store_mode(mode);
        let lines = run.count_lines();
        for process in &mut run.gateways.processes {
            process.restart().expect("a process");
        }
        let log = |gateway: usize| {
            let log = run.gateways.log(gateway).expect("a log");
            let new = log.lines().skip(lines[gateway]).map(str::to_owned);
            new.collect::<Vec<String>>()
        };
        let has = |gateway, part| log(gateway).iter().any(|line| line.contains(part));
        for gateway in 0..GATEWAYS {
            let reported = wait_until(|| has(gateway, "process_not_ready"));
            assert!(reported.is_ok(), "{mode:?}: {:#?}", log(gateway));
        }
        run.gateways.restore_store();
        for gateway in 0..GATEWAYS {
            let ready = run.gateways.wait_until_ready(gateway);
            assert!(ready.is_ok(), "{mode:?}: {:#?}", log(gateway));
            assert!(!has(gateway, "panicked"), "{mode:?}: {:#?}", log(gateway));
        }
        run.assert_following(version);
    }
}

/// Guards against origins of streams with times that no clock has, at which a gateway panics.
#[test]
fn odd_origins_are_passed_over() {
    let mut run = OddRun::start("origins");
    run.assert_following(2);
    let origin = json!({"s": MODEL_SERVICE, "v": "odd"});
    for (number, expires) in [0, 1, u64::MAX / 1_000, u64::MAX - 1, u64::MAX]
        .iter()
        .enumerate()
    {
        let recorded = json!([{"a": format!("odd-{number}"), "o": origin, "e": expires}]);
        for partition in 0..PARTITIONS {
            let key = format!("o-odd-{number}");
            run.store
                .put_in("keyed.processes", partition, &key, &cbor(&recorded));
        }
    }
    for process in &mut run.gateways.processes {
        process.kill();
        process.restart().expect("a process");
    }
    for gateway in 0..GATEWAYS {
        run.gateways.wait_until_ready(gateway).expect("a gateway");
    }
    run.assert_following(3);
    for gateway in 0..GATEWAYS {
        let log = run.gateways.log(gateway).expect("a log");
        assert!(!log.contains("panicked"), "{log}");
    }
}

/// Guards against responses of the store that are cut at any byte of their heads, and are taken for
/// whole, end a gateway or stop it from following the lists.
#[test]
fn cut_responses_of_the_store_are_rejected() {
    /// Two for each byte of a head and of what follows it.
    const CUTS: usize = 500;
    let mut run = OddRun::start("cut-store");
    run.assert_following(2);
    run.gateways.set_store_mode(StoreMode::Cut);
    let started_at = Instant::now();
    let mut sent = 0;
    while run.store.count_cuts() < CUTS {
        assert!(
            started_at.elapsed() < MAX_CUT_TIME,
            "{}",
            run.store.count_cuts()
        );
        let requests = (0..16).map(|number| {
            sent += 1;
            let id = format!("cut-{sent}");
            let turn = CallerRequest::turn(&format!("/chat/{id}"), &id, &id, "x");
            let address = run.gateways.callers(number % GATEWAYS);
            let mut connection = TcpStream::connect(address).expect("a connection");
            let turn = turn.with("Connection", "close").bytes();
            connection.write_all(&turn).expect("a request");
            (id, connection)
        });
        let requests: Vec<_> = requests.collect();
        for (id, mut connection) in requests {
            let response = read_response(&mut connection).expect("a response");
            let is_whole = response.status == 200 && response.is_complete;
            assert!(!is_whole || response.body.contains(&id), "{response:?}");
            assert!(
                is_whole || response.status >= 500 || !response.is_complete,
                "{response:?}"
            );
        }
    }
    run.gateways.restore_store();
    run.assert_following(3);
}
