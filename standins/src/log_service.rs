//! Simulates the append-only log service: offsets, rate limit, retention, outages and delays, and
//! responses that are lost although the write took effect.

use std::collections::{BTreeMap, VecDeque};

use clementinepick::ids::Offset;
use clementinepick::platform::{AppendResponse, ReadResponse, StoredRecord, StreamName};
use clementinepick::units::{MilliPerS, Percent, SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use thiserror::Error;

/// Settings of a simulated log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Rate limit of appends over all streams and writers.
    pub append_rate: MilliPerS,
    /// Capacity of the rate limiter's token bucket, in appends.
    pub append_burst: u32,
    /// Retention period of a record.
    pub retention_us: SpanUs,
    /// Delay of a response.
    pub response_us: SpanUs,
    /// Percentage of appends whose response is lost after the write.
    pub lost_responses: Percent,
    /// Percentage of appends that are lost before the write.
    pub lost_requests: Percent,
    /// Seed for the losses.
    pub seed: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            append_rate: MilliPerS::per_s(300),
            append_burst: 30,
            retention_us: SpanUs::from_s(24 * 3_600),
            response_us: SpanUs::from_ms(3),
            lost_responses: Percent::default(),
            lost_requests: Percent::default(),
            seed: 0,
        }
    }
}

/// A fault injected into an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// The records are not written, and the writer gets no response.
    LostRequest,
    /// The records are written, and the writer gets no response.
    LostResponse,
    /// The records are written after this time, and the writer gets no response.
    LateWrite(SpanUs),
}

/// Reason why a request to the log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// Nothing was appended: the rate limit is exceeded; retry after this time.
    #[error("append rate limit exceeded")]
    RateLimited(SpanUs),
    /// Nothing was appended or read because of an outage.
    #[error("log is down")]
    Down,
    /// The response was lost; the records may be in the log, now or later.
    #[error("response was lost")]
    NoResponse,
}

#[derive(Debug, Clone)]
struct RetainedRecord {
    at_us: TimeUs,
    text: String,
}

#[derive(Debug, Clone, Default)]
struct Stream {
    earliest: u64,
    kept: VecDeque<RetainedRecord>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.earliest + self.kept.len() as u64
    }

    fn trim(&mut self, now: TimeUs, retention: SpanUs) {
        let old = |kept: &RetainedRecord| kept.at_us.after(retention) <= now;
        while self.kept.front().is_some_and(old) {
            self.kept.pop_front();
            self.earliest += 1;
        }
    }

    fn push(&mut self, now: TimeUs, records: Vec<String>) -> Offset {
        let first = Offset(self.end());
        let kept = records
            .into_iter()
            .map(|text| RetainedRecord { at_us: now, text });
        self.kept.extend(kept);
        first
    }
}

#[derive(Debug, Clone)]
struct LateWrite {
    due_us: TimeUs,
    stream: StreamName,
    records: Vec<String>,
}

/// A simulated log service.
#[derive(Debug)]
pub struct LogService {
    settings: LogSettings,
    streams: BTreeMap<StreamName, Stream>,
    /// Fill level of the rate limiter's token bucket, in thousandths of an append.
    tokens_milli: u64,
    refilled_us: TimeUs,
    outages: Vec<(TimeUs, TimeUs)>,
    additional_delay: SpanUs,
    scripted_faults: VecDeque<Option<AppendFault>>,
    late_writes: Vec<LateWrite>,
    rng: ChaCha12Rng,
    appends: u64,
    records: u64,
}

impl LogService {
    /// Creates an empty log.
    #[must_use]
    pub fn new(settings: LogSettings) -> Self {
        Self {
            streams: BTreeMap::new(),
            tokens_milli: u64::from(settings.append_burst.max(1)) * 1_000,
            refilled_us: TimeUs(0),
            outages: Vec::new(),
            additional_delay: SpanUs(0),
            scripted_faults: VecDeque::new(),
            late_writes: Vec::new(),
            rng: ChaCha12Rng::seed_from_u64(settings.seed),
            appends: 0,
            records: 0,
            settings,
        }
    }

    /// Adds an outage from `from` (inclusive) to `until` (exclusive).
    pub fn add_outage(&mut self, from: TimeUs, until: TimeUs) {
        self.outages.push((from, until));
    }

    /// Sets an additional delay of all responses.
    pub fn set_slowness(&mut self, extra: SpanUs) {
        self.additional_delay = extra;
    }

    /// Queues the faults of the next appends; `None` lets one succeed. After them the configured
    /// loss rates apply again.
    pub fn script(&mut self, faults: impl IntoIterator<Item = Option<AppendFault>>) {
        self.scripted_faults.extend(faults);
    }

    /// Returns the delay of a response to a request that arrives now.
    #[must_use]
    pub fn response_delay(&self) -> SpanUs {
        self.settings.response_us + self.additional_delay
    }

    /// Returns the numbers of batches and of records written.
    #[must_use]
    pub const fn written(&self) -> (u64, u64) {
        (self.appends, self.records)
    }

    /// Appends records as one batch.
    ///
    /// # Errors
    ///
    /// Any [`LogError`]; the records can be in the log only after [`LogError::NoResponse`].
    pub fn append(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        records: Vec<String>,
    ) -> Result<AppendResponse, LogError> {
        self.apply_due(now);
        if self.is_down(now) {
            return Err(LogError::Down);
        }
        self.take_append_token(now)?;
        match self.next_fault() {
            None => {
                let first_offset = self.write(now, stream, records);
                Ok(AppendResponse { first_offset })
            }
            Some(AppendFault::LostRequest) => Err(LogError::NoResponse),
            Some(AppendFault::LostResponse) => {
                self.write(now, stream, records);
                Err(LogError::NoResponse)
            }
            Some(AppendFault::LateWrite(span)) => {
                self.late_writes.push(LateWrite {
                    due_us: now.after(span),
                    stream,
                    records,
                });
                Err(LogError::NoResponse)
            }
        }
    }

    /// Reads up to `max` records, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// [`LogError::Down`] during an outage.
    pub fn read(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        from: Offset,
        max: usize,
    ) -> Result<ReadResponse, LogError> {
        self.apply_due(now);
        if self.is_down(now) {
            return Err(LogError::Down);
        }
        let stream = self.streams.entry(stream).or_default();
        let first = from.0.max(stream.earliest);
        let skipped = usize::try_from(first - stream.earliest).unwrap_or(usize::MAX);
        let records = stream.kept.iter().skip(skipped).take(max);
        Ok(ReadResponse {
            earliest: Offset(stream.earliest),
            end: Offset(stream.end()),
            records: records
                .zip(first..)
                .map(|(kept, offset)| StoredRecord {
                    offset: Offset(offset),
                    text: kept.text.clone(),
                })
                .collect(),
        })
    }

    fn is_down(&self, now: TimeUs) -> bool {
        self.outages
            .iter()
            .any(|(from, until)| (*from..*until).contains(&now))
    }

    /// Applies the late writes that are due, and drops expired records and past outages.
    fn apply_due(&mut self, now: TimeUs) {
        let (due, later) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|write: &LateWrite| write.due_us <= now);
        self.late_writes = later;
        for write in due {
            self.write(write.due_us, write.stream, write.records);
        }
        let retention = self.settings.retention_us;
        for stream in self.streams.values_mut() {
            stream.trim(now, retention);
        }
        self.outages.retain(|(_, until)| *until > now);
    }

    fn write(&mut self, now: TimeUs, stream: StreamName, records: Vec<String>) -> Offset {
        self.appends += 1;
        self.records += records.len() as u64;
        self.streams.entry(stream).or_default().push(now, records)
    }

    fn take_append_token(&mut self, now: TimeUs) -> Result<(), LogError> {
        let rate_milli = self.settings.append_rate.0;
        let capacity = u64::from(self.settings.append_burst.max(1)) * 1_000;
        let refill = now.since(self.refilled_us).0 * rate_milli / 1_000_000;
        if refill > 0 {
            self.tokens_milli = (self.tokens_milli + refill).min(capacity);
            self.refilled_us = now;
        }
        if self.tokens_milli < 1_000 {
            let missing = (1_000 - self.tokens_milli) * 1_000_000;
            let wait = missing.div_ceil(rate_milli.max(1));
            return Err(LogError::RateLimited(SpanUs(wait)));
        }
        self.tokens_milli -= 1_000;
        Ok(())
    }

    fn next_fault(&mut self) -> Option<AppendFault> {
        if let Some(scripted) = self.scripted_faults.pop_front() {
            return scripted;
        }
        let requests = u8::from(self.settings.lost_requests);
        let answers = u8::from(self.settings.lost_responses);
        if requests == 0 && answers == 0 {
            return None;
        }
        let drawn = self.rng.random_range(0..100);
        if drawn < requests {
            Some(AppendFault::LostRequest)
        } else if drawn < requests.saturating_add(answers) {
            Some(AppendFault::LostResponse)
        } else {
            None
        }
    }
}
