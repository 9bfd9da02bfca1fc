//! What control costs while nothing is asked: messages and bytes of each process, and the time
//! until a document is in force everywhere. `--nocapture` prints the table.

mod common;

use common::{ENGINE_DOCUMENT, World};

/// How long the idle deployment is watched.
const WATCH_S: u64 = 20;

/// What one process sent a second.
#[derive(Debug, Clone, Copy)]
struct Rate {
    messages: f64,
    bytes: f64,
}

#[derive(Debug)]
struct Measured {
    entry: Rate,
    sidecar: Rate,
    in_force_ms: u64,
    /// Bytes over all links for the document, per process that got it.
    document_bytes: f64,
}

fn names(entries: usize, engines: usize) -> Vec<String> {
    let entries = (0..entries).map(|n| format!("e{n}"));
    entries
        .chain((0..engines).map(|n| format!("g{n}")))
        .collect()
}

fn revision(world: &World, name: &str) -> u64 {
    let revision = &world.dump(name)["revisions"]["llm"];
    revision.as_u64().unwrap_or_default()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn rate(world: &World, name: &str, seconds: u64) -> Rate {
    let (bytes, messages) = world.sent_bytes[&common::vm(name)];
    Rate {
        messages: messages as f64 / seconds as f64,
        bytes: bytes as f64 / seconds as f64,
    }
}

fn total_bytes(world: &World) -> u64 {
    world.sent_bytes.values().map(|(bytes, _)| bytes).sum()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn measure(entries: usize, engines: usize) -> Measured {
    let mut world = World::new(entries, engines, 0);
    world.run_ms(5_000);
    world.sent_bytes.clear();
    world.run_ms(WATCH_S * 1_000);
    let (entry, sidecar) = (rate(&world, "e0", WATCH_S), rate(&world, "g0", WATCH_S));
    let idle_per_ms = total_bytes(&world) as f64 / (WATCH_S * 1_000) as f64;

    world.sent_bytes.clear();
    let started_us = world.now_us;
    world.publish(10, 1, &format!("{ENGINE_DOCUMENT}[class d]\nrank = 2\n"));
    let names = names(entries, engines);
    world.run_until(10_000, "in force everywhere", |world| {
        names.iter().all(|name| revision(world, name) == 2)
    });
    let in_force_ms = (world.now_us - started_us) / 1_000;
    world.run_ms(2_000);
    let idle = idle_per_ms * (in_force_ms + 2_000) as f64;
    Measured {
        entry,
        sidecar,
        in_force_ms,
        document_bytes: (total_bytes(&world) as f64 - idle) / names.len() as f64,
    }
}

#[test]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn control_grows_with_the_links_and_in_force_does_not_grow() {
    println!(
        "entries sidecars | entry msg/s B/s B/s/link | sidecar msg/s B/s B/s/link | in force ms | B/process"
    );
    for (entries, engines) in [(2, 10), (4, 20), (4, 60), (8, 60)] {
        let m = measure(entries, engines);
        let (entry_links, sidecar_links) = ((entries - 1 + engines) as f64, entries as f64);
        println!(
            "{entries:7} {engines:8} | {:11.0} {:5.0} {:8.1} | {:13.0} {:4.0} {:8.1} | {:11} | {:.0}",
            m.entry.messages,
            m.entry.bytes,
            m.entry.bytes / entry_links,
            m.sidecar.messages,
            m.sidecar.bytes,
            m.sidecar.bytes / sidecar_links,
            m.in_force_ms,
            m.document_bytes,
        );
        assert!(m.entry.bytes / entry_links < 180.0, "{m:?}");
        assert!(m.sidecar.bytes / sidecar_links < 450.0, "{m:?}");
        assert!(m.in_force_ms < 150, "{m:?}");
    }
}
