//! Measures the control traffic of an idle deployment and the time until a published document is
//! active at all processes. `--nocapture` prints the table.

mod common;

use common::{ENGINE_DOCUMENT, World};

/// The duration over which the idle traffic is measured.
const IDLE_PERIOD_S: u64 = 20;

/// The traffic that one process sends.
#[derive(Debug, Clone, Copy)]
struct SendRate {
    messages_per_s: f64,
    bytes_per_s: f64,
}

#[derive(Debug)]
struct Measurement {
    entry: SendRate,
    sidecar: SendRate,
    in_force_ms: u64,
    /// The bytes that publishing the document adds on all links, per process.
    document_bytes: f64,
}

fn process_names(entries: usize, engines: usize) -> Vec<String> {
    let entries = (0..entries).map(|n| format!("e{n}"));
    entries
        .chain((0..engines).map(|n| format!("g{n}")))
        .collect()
}

fn engine_revision(world: &World, name: &str) -> u64 {
    let revision = &world.dump(name)["revisions"]["llm"];
    revision.as_u64().unwrap_or_default()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn send_rate(world: &World, name: &str, seconds: u64) -> SendRate {
    let (bytes, messages) = world.sent_bytes[&common::vm(name)];
    SendRate {
        messages_per_s: messages as f64 / seconds as f64,
        bytes_per_s: bytes as f64 / seconds as f64,
    }
}

fn total_bytes(world: &World) -> u64 {
    world.sent_bytes.values().map(|(bytes, _)| bytes).sum()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn measure(entries: usize, engines: usize) -> Measurement {
    let mut world = World::new(entries, engines, 0);
    world.run_ms(5_000);
    world.sent_bytes.clear();
    world.run_ms(IDLE_PERIOD_S * 1_000);
    let (entry, sidecar) = (
        send_rate(&world, "e0", IDLE_PERIOD_S),
        send_rate(&world, "g0", IDLE_PERIOD_S),
    );
    let idle_bytes_per_ms = total_bytes(&world) as f64 / (IDLE_PERIOD_S * 1_000) as f64;

    world.sent_bytes.clear();
    let started_us = world.now_us;
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    let names = process_names(entries, engines);
    world.run_until(10_000, "the document in force at all processes", |world| {
        names.iter().all(|name| engine_revision(world, name) == 2)
    });
    let in_force_ms = (world.now_us - started_us) / 1_000;
    world.run_ms(2_000);
    let idle_bytes = idle_bytes_per_ms * (in_force_ms + 2_000) as f64;
    Measurement {
        entry,
        sidecar,
        in_force_ms,
        document_bytes: (total_bytes(&world) as f64 - idle_bytes) / names.len() as f64,
    }
}

#[test]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn control_traffic_per_link_and_publishing_time_are_bounded() {
    println!(
        "entries sidecars | entry msg/s B/s B/s/link | sidecar msg/s B/s B/s/link | in force ms | B/process"
    );
    for (entries, engines) in [(2, 10), (4, 20), (4, 60), (8, 60)] {
        let m = measure(entries, engines);
        let (entry_links, sidecar_links) = ((entries - 1 + engines) as f64, entries as f64);
        println!(
            "{entries:7} {engines:8} | {:11.0} {:5.0} {:8.1} | {:13.0} {:4.0} {:8.1} | {:11} | {:.0}",
            m.entry.messages_per_s,
            m.entry.bytes_per_s,
            m.entry.bytes_per_s / entry_links,
            m.sidecar.messages_per_s,
            m.sidecar.bytes_per_s,
            m.sidecar.bytes_per_s / sidecar_links,
            m.in_force_ms,
            m.document_bytes,
        );
        assert!(m.entry.bytes_per_s / entry_links < 180.0, "{m:?}");
        assert!(m.sidecar.bytes_per_s / sidecar_links < 450.0, "{m:?}");
        assert!(m.in_force_ms < 150, "{m:?}");
    }
}
