//! Daemons on loopback ports for tests.

use clementinepick::units::SpanUs;
use clementinepickd::Daemon;
use clementinepickd::settings::{
    LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings, ShutdownSettings, SidecarRole,
};

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
            drain_delay_us: SpanUs(0),
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
    assert_eq!(daemon.join(), clementinepickd::ShutdownKind::Graceful);
}
