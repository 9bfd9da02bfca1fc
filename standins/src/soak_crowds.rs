//! Runs the crowds of a soak: callers that stop short of the end of a request, send without end or never
//! read, and keep their connections open.

use std::thread::sleep;
use std::time::Duration;

use crate::caller_crowd::{
    CallerCrowd, CallerInput, announced_head, chunk, chunked_head, unfinished_head,
};
use crate::platform_caller::CallerRequest;
use crate::soak_callers::Callers;

/// The largest body that callers may send in runs with crowds, in bytes.
pub(crate) const CROWD_BODY_BYTES: usize = 1_000_000;
/// The most connections that callers may have to a gateway in runs with crowds.
pub(crate) const CROWD_CONNECTION_LIMIT: usize = 200;
/// The callers of crowds that send much, and of those that only hold connections.
const SENDERS: usize = 120;
const HOLDERS: usize = 600;
/// How long a crowd sends at most.
const SEND_TIME: Duration = Duration::from_millis(800);

/// What the callers of a crowd do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrowdKind {
    AnnouncedBody,
    ChunkedBody,
    SmallChunks,
    EndlessBody,
    HugeBody,
    BehindStream,
    Lookups,
    Refused,
    HalfHead,
    Idle,
}

impl CrowdKind {
    const ALL: [Self; 10] = [
        Self::AnnouncedBody,
        Self::ChunkedBody,
        Self::SmallChunks,
        Self::EndlessBody,
        Self::HugeBody,
        Self::BehindStream,
        Self::Lookups,
        Self::Refused,
        Self::HalfHead,
        Self::Idle,
    ];

    fn callers(self) -> usize {
        match self {
            Self::HalfHead | Self::Idle => HOLDERS,
            Self::AnnouncedBody
            | Self::ChunkedBody
            | Self::SmallChunks
            | Self::EndlessBody
            | Self::HugeBody
            | Self::BehindStream
            | Self::Lookups
            | Self::Refused => SENDERS,
        }
    }

    /// Returns what a caller with this id sends.
    fn input(self, id: &str) -> CallerInput {
        let chunked = || chunked_head("/book/1", id);
        let announced = |bytes| announced_head("/book/1", id, bytes);
        let filling = &[b'x'; 4_096];
        match self {
            Self::AnnouncedBody => {
                let start = announced(CROWD_BODY_BYTES);
                let length = start.len() + CROWD_BODY_BYTES - 1;
                CallerInput::repeating(start, filling, length)
            }
            Self::ChunkedBody => {
                CallerInput::repeating(chunked(), &chunk(16_384), CROWD_BODY_BYTES - 16_384)
            }
            Self::SmallChunks => CallerInput::repeating(chunked(), &chunk(8), 100_000),
            Self::EndlessBody => CallerInput::endless(chunked(), &chunk(16_384)),
            Self::HugeBody => CallerInput::endless(announced(100 * CROWD_BODY_BYTES), filling),
            Self::BehindStream => {
                let mut start = CallerRequest::turn("/chat/1", id, id, "x").bytes();
                start.extend(announced(CROWD_BODY_BYTES));
                let length = start.len() + CROWD_BODY_BYTES - 1;
                CallerInput::repeating(start, filling, length)
            }
            Self::Lookups => {
                let lookup = CallerRequest::new("GET", "/look/1", id).bytes();
                CallerInput::endless(Vec::new(), &lookup)
            }
            Self::Refused => {
                let nowhere = CallerRequest::new("GET", "/nowhere/1", id).bytes();
                CallerInput::endless(Vec::new(), &nowhere)
            }
            Self::HalfHead => CallerInput::once(unfinished_head("/look/1", id, 4_000)),
            Self::Idle => CallerInput::once(Vec::new()),
        }
    }
}

impl Callers<'_> {
    /// Sends a crowd to a gateway, which keeps its connections open for `duration` after that, also if the
    /// gateway's process ends meanwhile.
    pub(crate) fn press(&self, gateway: usize, random_value: u64, duration: Duration) {
        let kinds = CrowdKind::ALL;
        let number = usize::try_from(random_value % kinds.len() as u64).unwrap_or(0);
        let kind = kinds[number];
        let address = self.world.gateway_status(gateway).callers;
        let mut crowd = CallerCrowd::connect(address, kind.callers(), |number| {
            kind.input(&format!("c{random_value:x}-{number}"))
        });
        crowd.send(SEND_TIME);
        sleep(duration);
    }
}
