//! Daemons on loopback ports for tests, and a plain HTTP exchange with them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clementinepick::units::SpanUs;
use clementinepickd::Daemon;
use clementinepickd::settings::{
    LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings, ShutdownSettings, SidecarRole,
};

/// Guards against hanging; no test waits for it to pass.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// The key of the daemons here.
pub const KEY: &str = "a key for the daemons of this test";

/// A key, and perhaps another that is valid as well.
pub fn keys(current: &str, previous: Option<&str>) -> LinkKeys {
    LinkKeys {
        current: LinkKey::new(current).expect("long enough"),
        previous: previous.and_then(LinkKey::new),
    }
}

/// Settings of an entry whose platform does not answer.
pub fn entry_settings() -> Settings {
    Settings {
        vm: "entry-a".parse().expect("a name"),
        zone: "kinigi-room".parse().expect("a name"),
        log_level: LogLevel::Off,
        http_workers: 1,
        links: LinkSettings {
            keys: keys(KEY, None),
            ..LinkSettings::default()
        },
        shutdown: ShutdownSettings {
            notice_us: SpanUs(0),
            linger_us: SpanUs(0),
            ..ShutdownSettings::default()
        },
        ..Settings::default()
    }
}

/// Settings of a sidecar whose backend server does not answer.
pub fn sidecar_settings() -> Settings {
    Settings {
        vm: "sidecar-0".parse().expect("a name"),
        role: Role::Sidecar(SidecarRole {
            service: "agent-llm".parse().expect("a name"),
            ..SidecarRole::default()
        }),
        ..entry_settings()
    }
}

/// Ends a daemon and waits for its threads.
pub fn end(daemon: Daemon) {
    daemon.shutdown();
    assert_eq!(daemon.join(), clementinepickd::Ended::Gracefully);
}

/// Sends bytes as they are, and gives back all that comes until the connection is closed.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// The body of a `GET`.
pub fn get(address: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let answer = exchange(address, request.as_bytes());
    let (_, body) = answer.split_once("\r\n\r\n").expect("a header");
    body.to_owned()
}
