//! Implements `standins capacity`: measures the unit costs of heartbeats, turns, programs and
//! records, and extrapolates them to the resources that each role needs at the planned size.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use argh::FromArgs;
use clementinepick::budget::Amount;
use clementinepick::call::{ChatMessage, FinishReason, Usage};
use clementinepick::config_replay::ConfigReplay;
use clementinepick::ids::{
    AttemptId, CallKey, CallSeq, Epoch, Incarnation, Offset, PartitionId, ProgramId, RecordId,
    RequestId, Revision, ServiceName, VmId,
};
use clementinepick::message::{BackendLoad, Heartbeat, Message};
use clementinepick::partition_replay::{Partitions, extend_chain, history_chain};
use clementinepick::prompt::ChainHash;
use clementinepick::record::{Budget, EndReason, PartitionRecord, Record, RecordBody};
use clementinepick::units::{SpanUs, Tokens};

use crate::failure::Failure;

/// Measures slopes and prints what the size of the plan asks of each role.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// programs to build in memory for the memory slope (default 20000)
    #[argh(option, default = "20_000")]
    pub programs: u64,
}

/// Bytes of text per token, as in the prompt length estimate.
const BYTES_PER_TOKEN: u64 = 4;
/// Turns per program in the memory measurement.
const TURNS_PER_PROGRAM: u64 = 8;
/// Bytes of text of the two messages of a turn in the memory measurement.
const TURN_TEXT_BYTES: u64 = 800;
/// Iterations over which the time of a short operation is averaged.
const TIMING_ITERATIONS: u32 = 200_000;
/// The page size, the unit of resident memory in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// The planned load, and the limits that each role must stay within.
mod plan {
    pub(super) const NODES: u64 = 2_500;
    pub(super) const ENGINES: u64 = 10_000;
    pub(super) const REQUESTS_PER_S: u64 = 110_000;
    pub(super) const TOKENS_PER_S: u64 = 27_000_000;
    pub(super) const PROGRAMS: u64 = 970_000;
    pub(super) const HISTORY_TOKENS: u64 = 440_000;
    pub(super) const SERVICES: u64 = 22_000;
    pub(super) const REGIONS: u64 = 5;
    pub(super) const CHANGES_PER_DAY: u64 = 19_000;
    pub(super) const APPENDS_PER_S: u64 = 300;
    pub(super) const CONTROL_BYTES_PER_S: u64 = 27_000;
    pub(super) const CONTROL_CPU_US_PER_S: u64 = 22_000;
    pub(super) const CONTROL_BYTES: u64 = 256_000_000;
}

/// The measured unit costs.
#[derive(Debug, Clone, Copy)]
struct Slopes {
    heartbeat_bytes: u64,
    heartbeat_service_bytes: u64,
    load_bytes: u64,
    heartbeat_ns: u64,
    turn_record_bytes: u64,
    claim_record_bytes: u64,
    program_records_bytes: u64,
    text_part_bytes: u64,
    text_part_ns: u64,
    apply_ns: u64,
    program_memory_bytes: u64,
    text_byte_memory_milli: u64,
}

impl Capacity {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Io`] if the memory use of this process can't be read.
    pub fn run(&self) -> Result<(), Failure> {
        let slopes = measure(self.programs)?;
        print_slopes(&slopes);
        print_plan(&slopes);
        Ok(())
    }
}

fn measure(programs: u64) -> Result<Slopes, Failure> {
    let (few, many) = (heartbeat(2), heartbeat(102));
    let text = text_part();
    let (program_memory_bytes, text_byte_memory_milli, apply_ns) = measure_memory(programs)?;
    Ok(Slopes {
        heartbeat_bytes: encoded_bytes(&few),
        heartbeat_service_bytes: (encoded_bytes(&many) - encoded_bytes(&few)) / 100,
        load_bytes: encoded_bytes(&Message::Load(BackendLoad::default())),
        heartbeat_ns: codec_ns(&few),
        turn_record_bytes: stored_bytes(&turn(0, 0, "", (ChainHash(1 << 60), ChainHash(1 << 61)))),
        claim_record_bytes: stored_bytes(&claim()),
        program_records_bytes: stored_bytes(&opened(0)) + stored_bytes(&ended(0)),
        text_part_bytes: encoded_bytes(&text),
        text_part_ns: codec_ns(&text),
        apply_ns,
        program_memory_bytes,
        text_byte_memory_milli,
    })
}

fn vm() -> VmId {
    "entry-rw-north-17".parse().expect("a name")
}

fn program(number: u64) -> ProgramId {
    format!("traveller-{number:08}").parse().expect("a name")
}

fn service(number: u64) -> ServiceName {
    format!("service-{number:05}").parse().expect("a name")
}

fn heartbeat(services: u64) -> Message {
    let revisions: BTreeMap<ServiceName, Revision> = (0..services)
        .map(|n| (service(n), Revision(n + 40)))
        .collect();
    Message::Heartbeat(Heartbeat {
        revisions,
        config_offset: Offset(123_456),
        leaving: false,
        is_ready: true,
        silence_us: SpanUs(400_000),
        decider: None,
    })
}

fn text_part() -> Message {
    Message::DispatchReply {
        attempt: AttemptId(1 << 100),
        part: clementinepick::call::AnswerPart::Text {
            position: 1_000,
            text: "four".repeat(4),
        },
        started: true,
        used: Usage::default(),
    }
}

fn encoded_bytes(message: &Message) -> u64 {
    encode(message).len() as u64
}

/// Encodes a message as it is sent over a link.
fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes
}

/// Returns the time to encode and decode a message once, in nanoseconds.
fn codec_ns(message: &Message) -> u64 {
    let began = Instant::now();
    for _ in 0..TIMING_ITERATIONS {
        let bytes = encode(black_box(message));
        black_box(ciborium::from_reader::<Message, _>(bytes.as_slice()).is_ok());
    }
    mean_ns(began, u64::from(TIMING_ITERATIONS))
}

fn mean_ns(began: Instant, count: u64) -> u64 {
    u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX) / count.max(1)
}

fn record(body: RecordBody) -> Record {
    Record {
        id: RecordId(7 << 90),
        writer: vm(),
        incarnation: Incarnation(1_764_700_000_000),
        body,
    }
}

fn owned(entry: PartitionRecord) -> Record {
    record(RecordBody::Owned {
        partition: PartitionId(7),
        epoch: Epoch(0),
        entry,
    })
}

fn stored_bytes(record: &Record) -> u64 {
    serde_json::to_string(record).expect("serializable").len() as u64
}

fn claim() -> Record {
    record(RecordBody::Claim {
        partition: PartitionId(7),
        over: None,
    })
}

fn opened(number: u64) -> Record {
    owned(PartitionRecord::ProgramOpened {
        program: program(number),
        parent: None,
        root: None,
        service: service(1),
        class: "concierge".parse().expect("a name"),
        budget: Budget {
            tokens: Tokens(2_000_000),
            calls: 500,
            time_us: SpanUs::from_s(14_400),
        },
        slice: Amount::default(),
    })
}

fn ended(number: u64) -> Record {
    owned(PartitionRecord::ProgramEnded {
        program: program(number),
        last: Some(CallSeq(9)),
        reason: EndReason::Caller,
    })
}

fn turn(number: u64, seq: u64, text: &str, chain: (ChainHash, ChainHash)) -> Record {
    owned(PartitionRecord::TurnAdded {
        call: CallKey {
            program: program(number),
            seq: CallSeq(seq),
        },
        request: RequestId(5 << 80),
        digest: ChainHash(9),
        key: None,
        before: chain.0,
        after: chain.1,
        messages: vec![ChatMessage::new("user", text)],
        answer: text.to_owned(),
        usage: Usage::default(),
        finish: Some(FinishReason::Stop),
    })
}

/// Returns the memory of a program without text in bytes, the memory of 1,000 bytes of text, and the
/// time to replay a record in nanoseconds.
fn measure_memory(programs: u64) -> Result<(u64, u64, u64), Failure> {
    let half = usize::try_from(TURN_TEXT_BYTES / 2).unwrap_or_default();
    let without_text = build(programs, "")?;
    // Both stay alive until the end: memory freed by the first would be reused by the second and
    // distort its measurement.
    let with_text = build(programs, &"x".repeat(half))?;
    let text_bytes = programs * TURNS_PER_PROGRAM * TURN_TEXT_BYTES;
    let more = with_text.used_bytes.saturating_sub(without_text.used_bytes);
    let per_text_milli = more * 1_000 / text_bytes.max(1);
    black_box((&without_text.partitions, &with_text.partitions));
    Ok((
        without_text.used_bytes / programs.max(1),
        per_text_milli,
        with_text.apply_ns,
    ))
}

/// Partitions in memory, and the cost of building them.
struct PartitionBuild {
    partitions: Partitions,
    used_bytes: u64,
    apply_ns: u64,
}

fn build(programs: u64, text: &str) -> Result<PartitionBuild, Failure> {
    let before = resident_bytes()?;
    let mut partitions = Partitions::default();
    partitions.apply(Offset(0), &claim());
    let (mut offset, mut elapsed_ns) = (0, 0);
    for number in 0..programs {
        let records = program_records(number, text);
        let began = Instant::now();
        for record in &records {
            offset += 1;
            partitions.apply(Offset(offset), record);
        }
        elapsed_ns += mean_ns(began, 1);
    }
    Ok(PartitionBuild {
        partitions,
        used_bytes: resident_bytes()?.saturating_sub(before),
        apply_ns: elapsed_ns / offset.max(1),
    })
}

/// Returns the records of a program of [`TURNS_PER_PROGRAM`] turns.
fn program_records(number: u64, text: &str) -> Vec<Record> {
    let mut chain = history_chain(&program(number), &[]);
    let mut records = vec![opened(number)];
    for seq in 0..TURNS_PER_PROGRAM {
        let messages = [
            ChatMessage::new("user", text),
            ChatMessage::new("assistant", text),
        ];
        let after = extend_chain(chain, &messages);
        records.push(turn(number, seq, text, (chain, after)));
        chain = after;
    }
    records
}

fn resident_bytes() -> Result<u64, Failure> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES)
}

fn print_slopes(slopes: &Slopes) {
    println!("slopes measured on this machine");
    let rows: [(&str, u64, &str); 12] = [
        ("heartbeat, 2 services", slopes.heartbeat_bytes, "B"),
        (
            "  each further service",
            slopes.heartbeat_service_bytes,
            "B",
        ),
        ("load report", slopes.load_bytes, "B"),
        ("heartbeat, encode and decode", slopes.heartbeat_ns, "ns"),
        ("text part of 4 tokens", slopes.text_part_bytes, "B"),
        ("text part, encode and decode", slopes.text_part_ns, "ns"),
        (
            "record of a turn beside its text",
            slopes.turn_record_bytes,
            "B",
        ),
        ("record of a claim", slopes.claim_record_bytes, "B"),
        (
            "records of a program's life",
            slopes.program_records_bytes,
            "B",
        ),
        ("replay of one record", slopes.apply_ns, "ns"),
        (
            "memory of a program of 8 turns beside its text",
            slopes.program_memory_bytes,
            "B",
        ),
        (
            "memory of 1,000 bytes of text",
            slopes.text_byte_memory_milli,
            "B",
        ),
    ];
    for (label, value, unit) in rows {
        println!("  {label:<48} {value:>10} {unit}");
    }
}

/// Prints one requirement and its limit.
fn print_row(label: &str, required: u64, limit: u64, unit: &str) {
    let fits = if required <= limit {
        "fits"
    } else {
        "DOES NOT FIT"
    };
    println!("  {label:<60} {required:>14} of {limit:>12} {unit:<6} {fits}");
}

fn print_plan(slopes: &Slopes) {
    println!("at the size of the plan, with today's mechanisms");
    let links_per_sidecar = plan::NODES / 100;
    let heartbeat = slopes.heartbeat_bytes;
    // An entry has a link to each sidecar of its region; a link carries two heartbeats per second in
    // each direction and two load reports per second.
    let sidecars_per_region = plan::ENGINES / plan::REGIONS;
    let per_link = 4 * heartbeat + 2 * slopes.load_bytes;
    let region_services = 3 * slopes.heartbeat_service_bytes;
    print_row(
        "sidecar, 25 entries a region, one service: bytes/s",
        links_per_sidecar * per_link,
        plan::CONTROL_BYTES_PER_S,
        "B/s",
    );
    print_row(
        "entry, links to all sidecars of its region: bytes/s",
        sidecars_per_region * (per_link + region_services),
        plan::CONTROL_BYTES_PER_S,
        "B/s",
    );
    let all_services = heartbeat + plan::SERVICES * slopes.heartbeat_service_bytes;
    print_row(
        "entry, one link, heartbeats that list every service: bytes/s",
        4 * all_services,
        plan::CONTROL_BYTES_PER_S,
        "B/s",
    );
    print_row(
        "entry, links to all sidecars of its region: us of a core/s",
        sidecars_per_region * 6 * slopes.heartbeat_ns / 1_000,
        plan::CONTROL_CPU_US_PER_S,
        "us/s",
    );
    let turns_per_s = plan::REQUESTS_PER_S;
    print_row(
        "log, one append a turn without group commit: appends/s",
        turns_per_s,
        plan::APPENDS_PER_S,
        "/s",
    );
    let per_append = turns_per_s / plan::APPENDS_PER_S;
    println!(
        "  turns in each append of a region's log at {} appends/s: {per_append}",
        plan::APPENDS_PER_S
    );
    let text_per_turn = plan::TOKENS_PER_S / plan::REQUESTS_PER_S * BYTES_PER_TOKEN;
    let log_bytes = turns_per_s * (slopes.turn_record_bytes + text_per_turn);
    println!("  log, bytes/s of turns ({text_per_turn} bytes of answer each): {log_bytes}");
    print_row(
        "reader of the whole journal: us of a core/s",
        turns_per_s * slopes.apply_ns / 1_000,
        plan::CONTROL_CPU_US_PER_S,
        "us/s",
    );
    let entries = plan::NODES / 20;
    print_row(
        "entry (1 VM in 20), its programs without their text: bytes",
        plan::PROGRAMS / entries * slopes.program_memory_bytes,
        plan::CONTROL_BYTES,
        "B",
    );
    let text_bytes = plan::HISTORY_TOKENS * BYTES_PER_TOKEN * slopes.text_byte_memory_milli / 1_000;
    print_row(
        "one program of 440,000 tokens, its text: bytes",
        text_bytes,
        plan::CONTROL_BYTES,
        "B",
    );
    print_row(
        "entry, its programs at a tenth of that text each: bytes",
        plan::PROGRAMS / entries * text_bytes / 10,
        plan::CONTROL_BYTES,
        "B",
    );
    print_row(
        "entry that keeps all programs of the log, no text: bytes",
        plan::PROGRAMS * slopes.program_memory_bytes,
        plan::CONTROL_BYTES,
        "B",
    );
    let change_us = measure_change_us();
    print_row(
        "entry, checking every change of configuration: us of a core/s",
        plan::CHANGES_PER_DAY * change_us / 86_400,
        plan::CONTROL_CPU_US_PER_S,
        "us/s",
    );
    println!("  one change of configuration, replayed and checked: {change_us} us");
    let parts_per_s = plan::TOKENS_PER_S / 4;
    println!(
        "  text parts, cores over all VMs if each is coded twice: {}",
        parts_per_s * 2 * slopes.text_part_ns / 1_000_000_000
    );
}

/// Returns the time to replay and validate one publication, in microseconds.
fn measure_change_us() -> u64 {
    const CHANGES: u64 = 2_000;
    let document = "[service]\nname = service-00001\nkind = engine\n[class concierge]\nrank = 1\n\
                    weight = 4\ndeadline = 30 s\n[class drafts]\nrank = 2\n";
    let mut replay = ConfigReplay::default();
    let began = Instant::now();
    for number in 0..CHANGES {
        let publish = record(RecordBody::Publish {
            operation: clementinepick::ids::OperationId(u128::from(number) + 1),
            service: service(1),
            base: Revision(number),
            document: document.to_owned(),
        });
        black_box(replay.apply(Offset(number), &publish));
    }
    mean_ns(began, CHANGES) / 1_000
}
