//! Settings for daemons that run on loopback ports in tests.

use clementinepick::units::SpanUs;
use clementinepickd::Daemon;
use clementinepickd::settings::{
    LinkKey, LinkKeys, LinkSettings, LogLevel, Role, Settings, ShutdownSettings, SidecarRole,
};

/// The link key of the daemons.
pub const KEY: &str = "a key for the daemons of this test";

/// Returns link keys: the current one and, during a rotation, the previous one.
pub fn keys(current: &str, previous: Option<&str>) -> LinkKeys {
    LinkKeys {
        current: LinkKey::new(current).expect("a key of valid length"),
        previous: previous.and_then(LinkKey::new),
    }
}

/// Returns settings of an entry whose platform is unavailable.
pub fn entry_settings() -> Settings {
    Settings {
        vm: "entry-a".parse().expect("a valid name"),
        zone: "kinigi-room".parse().expect("a valid name"),
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

/// Returns settings of a sidecar whose backend server is unavailable.
pub fn sidecar_settings() -> Settings {
    Settings {
        vm: "sidecar-0".parse().expect("a valid name"),
        role: Role::Sidecar(SidecarRole {
            service: "agent-llm".parse().expect("a valid name"),
            ..SidecarRole::default()
        }),
        ..entry_settings()
    }
}

/// Shuts a daemon down gracefully and waits for its threads.
pub fn end(daemon: Daemon) {
    daemon.shutdown();
    assert_eq!(daemon.join(), clementinepickd::ShutdownKind::Graceful);
}
