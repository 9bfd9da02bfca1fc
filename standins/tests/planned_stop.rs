//! Tests which requests a gateway still takes during a planned shutdown with the default times.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use clementinepickd::gateway_settings::GatewaySettings;
use standins::platform_backend::PlatformBackend;
use standins::platform_caller::{CallerRequest, CallerResponse, ResponseReader, read_response};
use standins::platform_run::{PlatformRun, config, wait_until};

/// What a caller may take for the answer to a request that was refused in time.
const AT_ONCE: Duration = Duration::from_secs(1);

/// A gateway with the default times, before servers that take a while.
struct Run {
    platform: PlatformRun,
    stopped_at: Instant,
}

impl Run {
    /// Starts the run; plain servers take `span` for a request, engines for each of four events.
    fn start(span: Duration) -> Self {
        let mut platform = PlatformRun::start(0).expect("a platform run");
        let patient = config(2)
            .replace(r#""TimeoutMs":1000"#, r#""TimeoutMs":8000"#)
            .replace(r#""TimeoutMs":1200"#, r#""TimeoutMs":8000"#)
            .replace(r#""TimeoutMs":2000"#, r#""TimeoutMs":8000"#)
            .replace(r#""TargetLatencyMs":50"#, r#""TargetLatencyMs":8000"#)
            .replace(r#""TargetLatencyMs":100"#, r#""TargetLatencyMs":8000"#)
            .replace(r#""GapTargetMs":150"#, r#""GapTargetMs":8000"#)
            .replace(r#""HeaderTimeoutMs":400"#, r#""HeaderTimeoutMs":9000"#)
            .replace(r#""IdleTimeoutMs":5000"#, r#""IdleTimeoutMs":9000"#);
        platform.store.put("keyed.op", "config", &patient);
        for server in platform.engines.iter().chain(&platform.plains) {
            server.configure(|settings| settings.pause = span);
        }
        let defaults = GatewaySettings::default();
        platform
            .add_gateway_with(|settings| {
                settings.drain_delay = defaults.drain_delay;
                settings.shutdown_limit = defaults.shutdown_limit;
            })
            .expect("a gateway");
        Self {
            platform,
            stopped_at: Instant::now(),
        }
    }

    fn stop(&mut self) {
        self.platform.gateways[0].terminate();
        self.stopped_at = Instant::now();
    }

    /// Sleeps until a time after the stop.
    fn sleep_until(&self, after_ms: u64) {
        let at = self.stopped_at + Duration::from_millis(after_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    fn connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.platform.callers(0)).expect("a connection");
        connection.set_nodelay(true).expect("an open connection");
        connection
    }

    fn run_count(&self, id: &str) -> usize {
        let servers = self.platform.engines.iter().chain(&self.platform.plains);
        let executions = servers.flat_map(PlatformBackend::executions);
        executions.filter(|run| run.id == id).count()
    }

    /// Checks that a request was served whole, or refused without having run.
    fn check_answer(&self, id: &str, response: &std::io::Result<CallerResponse>) {
        let response = response.as_ref();
        let response = response.unwrap_or_else(|err| panic!("{id}: {err}"));
        match response.status {
            200 => assert!(response.is_complete, "{id}: {response:?}"),
            503 => {
                assert!(response.headers.contains_key("retry-after"), "{response:?}");
                assert_eq!(self.run_count(id), 0, "{id} was refused and has run");
            }
            _ => panic!("{id}: {response:?}"),
        }
    }
}

fn booking(id: &str) -> CallerRequest {
    CallerRequest {
        body: "a body that arrives late".to_owned(),
        ..CallerRequest::new("POST", "/book/1", id)
    }
    .with("Deadline-Ms", "8000")
}

fn turn(path: &str, id: &str) -> CallerRequest {
    CallerRequest::turn(path, id, id, "a body that arrives late").with("Deadline-Ms", "8000")
}

fn requests() -> Vec<(&'static str, CallerRequest)> {
    vec![
        ("booking", booking("booking")),
        ("chat", turn("/chat/1", "chat")),
        ("draft", turn("/draft/1", "draft")),
    ]
}

/// Sends all of a request but the last byte.
fn send_start(connection: &mut TcpStream, request: &CallerRequest) -> u8 {
    let bytes = request.bytes();
    let (last, start) = bytes.split_last().expect("a request");
    connection.write_all(start).expect("sent");
    *last
}

/// Guards against a request that is passed on although the process stops before its deadline.
#[test]
fn requests_whose_bodies_end_late_are_not_cut() {
    let mut run = Run::start(Duration::from_secs(1));
    run.stop();
    run.sleep_until(2_000);
    let mut sent: Vec<_> = requests()
        .into_iter()
        .map(|(id, request)| {
            let mut connection = run.connect();
            let last = send_start(&mut connection, &request);
            (id, connection, last)
        })
        .collect();
    run.sleep_until(6_400);
    for (_, connection, last) in &mut sent {
        // The gateway may have refused the request and closed the connection.
        let _ = connection.write_all(&[*last]);
    }
    for (id, mut connection, _) in sent {
        run.check_answer(id, &read_response(&mut connection));
    }
}

/// Guards against a request that can't be served any more and hears so only when its body is complete.
#[test]
fn requests_that_cannot_end_in_time_are_refused_before_their_bodies_end() {
    let mut run = Run::start(Duration::from_secs(1));
    run.stop();
    run.sleep_until(2_000);
    let mut connection = run.connect();
    send_start(&mut connection, &booking("unfinished"));
    run.sleep_until(2_600);
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.took < AT_ONCE, "{response:?}");
    assert_eq!(run.run_count("unfinished"), 0);
}

/// Guards against a pipelined request that is passed on although the process stops before its deadline.
#[test]
fn pipelined_requests_are_not_cut() {
    let mut run = Run::start(Duration::from_millis(900));
    run.stop();
    run.sleep_until(2_000);
    let sent: Vec<_> = requests()
        .into_iter()
        .map(|(id, request)| {
            let mut connection = run.connect();
            let first = turn("/chat/1", &format!("before-{id}"));
            let both = [first.bytes(), request.bytes()].concat();
            connection.write_all(&both).expect("sent");
            (id, connection)
        })
        .collect();
    for (id, connection) in sent {
        let mut reader = ResponseReader::new(connection);
        run.check_answer(&format!("before-{id}"), &reader.read());
        run.check_answer(id, &reader.read());
    }
}

/// Guards against a request that crosses the end of the response before and is cut.
#[test]
fn requests_that_cross_a_response_are_not_cut() {
    let mut run = Run::start(Duration::from_millis(1_100));
    for plain in &run.platform.plains {
        plain.configure(|settings| settings.pause = Duration::from_millis(4_400));
    }
    let mut sent: Vec<_> = requests()
        .into_iter()
        .map(|(id, request)| {
            let mut connection = run.connect();
            let first = turn("/chat/1", &format!("before-{id}"));
            connection.write_all(&first.bytes()).expect("sent");
            (id, request, connection)
        })
        .collect();
    // The responses begin before the stop, and don't say that their connections close.
    thread::sleep(Duration::from_millis(1_500));
    run.stop();
    run.sleep_until(2_850);
    for (_, request, connection) in &mut sent {
        connection.write_all(&request.bytes()).expect("sent");
    }
    for (id, _, connection) in sent {
        let mut reader = ResponseReader::new(connection);
        run.check_answer(&format!("before-{id}"), &reader.read());
        run.check_answer(id, &reader.read());
    }
}

/// Guards against a request that stays without an answer because the head of the stream before it, which
/// its caller had not read yet, announced the close.
#[test]
fn a_request_that_crosses_the_head_of_a_stream_is_answered() {
    let mut run = Run::start(Duration::from_millis(500));
    run.stop();
    run.sleep_until(1_500);
    let mut connection = run.connect();
    let first = turn("/chat/1", "first");
    connection.write_all(&first.bytes()).expect("sent");
    wait_until(|| run.run_count("first") == 1).expect("a running stream");
    run.sleep_until(2_800);
    connection
        .write_all(&booking("second").bytes())
        .expect("sent");
    let mut reader = ResponseReader::new(connection);
    run.check_answer("first", &reader.read());
    run.check_answer("second", &reader.read());
}

/// Guards against a connection that stays open for as long as its caller sends requests.
#[test]
fn a_caller_that_always_pipelines_is_told_to_go() {
    let mut run = Run::start(Duration::from_millis(5));
    run.stop();
    let mut reader = ResponseReader::new(run.connect());
    let mut sending = reader.connection.try_clone().expect("a connection");
    let stopped_at = run.stopped_at;
    let sender = thread::spawn(move || {
        for number in 0.. {
            let request = booking(&format!("p{number}"));
            if sending.write_all(&request.bytes()).is_err()
                || stopped_at.elapsed() > Duration::from_secs(9)
            {
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    });
    let mut statuses = Vec::new();
    while let Ok(response) = reader.read() {
        statuses.push(response.status);
    }
    let closed_after = run.stopped_at.elapsed();
    drop(reader);
    sender.join().expect("a sender");
    let limit = Duration::from_secs(4);
    assert!(closed_after < limit, "closed after {closed_after:?}");
    let refused = statuses.iter().position(|status| *status != 200);
    let refused = refused.expect("a refused request");
    let after = &statuses[refused..];
    assert!(after.iter().all(|status| *status == 503), "{after:?}");
    assert!(run.run_count(&format!("p{refused}")) == 0);
}

/// Guards against refusing requests that arrive while callers are still accepted.
#[test]
fn requests_during_the_notice_are_served_whole() {
    let mut run = Run::start(Duration::from_secs(1));
    run.stop();
    run.sleep_until(1_800);
    let sent: Vec<_> = requests()
        .into_iter()
        .map(|(id, request)| {
            let mut connection = run.connect();
            connection.write_all(&request.bytes()).expect("sent");
            (id, connection)
        })
        .collect();
    for (id, mut connection) in sent {
        let response = read_response(&mut connection).expect("a response");
        assert_eq!((response.status, response.is_complete), (200, true), "{id}");
        assert_eq!(run.run_count(id), 1);
    }
}

/// Guards against refusing a late request whose deadline is before the end.
#[test]
fn late_requests_with_early_deadlines_are_served() {
    let mut run = Run::start(Duration::from_millis(50));
    run.stop();
    run.sleep_until(2_000);
    let mut connection = run.connect();
    let request = booking("short")
        .without("Deadline-Ms")
        .with("Deadline-Ms", "4000");
    let last = send_start(&mut connection, &request);
    run.sleep_until(3_500);
    connection.write_all(&[last]).expect("sent");
    let response = read_response(&mut connection).expect("a response");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(run.run_count("short"), 1);
}

/// Guards against a gateway that does not end because callers keep sending.
#[test]
fn the_gateway_ends_in_time_beside_callers_that_pipeline() {
    let mut run = Run::start(Duration::from_millis(5));
    let mut connection = run.connect();
    run.stop();
    let many = booking("many").bytes().repeat(200);
    let sender = thread::spawn(move || {
        while connection.write_all(&many).is_ok() {
            thread::sleep(Duration::from_millis(100));
        }
    });
    let gateway = &run.platform.gateways[0];
    wait_until(|| gateway.has_ended()).expect("a gateway that ends");
    assert!(run.stopped_at.elapsed() < Duration::from_secs(8));
    drop(run);
    sender.join().expect("a sender");
}
