//! The append-only log service: offsets, an append rate limit, limited retention, outages,
//! slowness, and answers that are lost although the write took effect.

use std::collections::{BTreeMap, VecDeque};

use clementinepick::ids::Offset;
use clementinepick::platform::{AppendResponse, ReadResponse, StoredRecord, StreamName};
use clementinepick::units::{MilliPerS, Percent, SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use thiserror::Error;

/// How a log behaves.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// How many appends it takes, over all streams and writers.
    pub append_rate: MilliPerS,
    /// How many appends above the rate it takes at once after a pause.
    pub append_burst: u32,
    /// How long a record is kept.
    pub retention_us: SpanUs,
    /// How long an answer takes.
    pub response_us: SpanUs,
    /// The share of appends whose answer is lost after the write.
    pub lost_responses: Percent,
    /// The share of appends that are lost before the write.
    pub lost_requests: Percent,
    /// Seeds the losses.
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

/// What becomes of an append, beyond success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// It is not written, and the writer is not told.
    LostRequest,
    /// It is written, and the writer is not told.
    LostResponse,
    /// It is written only after this time, and the writer is not told.
    LateWrite(SpanUs),
}

/// Why the log gives no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// Nothing was appended: the rate is used up; there will be room after the span.
    #[error("over the append rate")]
    RateLimited(SpanUs),
    /// Nothing was appended or read: an outage.
    #[error("the log is down")]
    Down,
    /// The answer does not come; the records may be in the log, now or a little later.
    #[error("the answer was lost")]
    NoResponse,
}

#[derive(Debug, Clone)]
struct Kept {
    at_us: TimeUs,
    text: String,
}

#[derive(Debug, Clone, Default)]
struct Stream {
    earliest: u64,
    kept: VecDeque<Kept>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.earliest + self.kept.len() as u64
    }

    fn trim(&mut self, now: TimeUs, retention: SpanUs) {
        let old = |kept: &Kept| kept.at_us.after(retention) <= now;
        while self.kept.front().is_some_and(old) {
            self.kept.pop_front();
            self.earliest += 1;
        }
    }

    fn push(&mut self, now: TimeUs, records: Vec<String>) -> Offset {
        let first = Offset(self.end());
        let kept = records.into_iter().map(|text| Kept { at_us: now, text });
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

/// The log service.
#[derive(Debug)]
pub struct LogService {
    settings: LogSettings,
    streams: BTreeMap<StreamName, Stream>,
    /// Appends that may be made now, in thousandths.
    credit_milli: u64,
    credit_us: TimeUs,
    outages: Vec<(TimeUs, TimeUs)>,
    extra_delay: SpanUs,
    script: VecDeque<Option<AppendFault>>,
    late: Vec<LateWrite>,
    rng: ChaCha12Rng,
    appends: u64,
    records: u64,
}

impl LogService {
    /// A log without records.
    #[must_use]
    pub fn new(settings: LogSettings) -> Self {
        Self {
            streams: BTreeMap::new(),
            credit_milli: u64::from(settings.append_burst.max(1)) * 1_000,
            credit_us: TimeUs(0),
            outages: Vec::new(),
            extra_delay: SpanUs(0),
            script: VecDeque::new(),
            late: Vec::new(),
            rng: ChaCha12Rng::seed_from_u64(settings.seed),
            appends: 0,
            records: 0,
            settings,
        }
    }

    /// Adds an outage from `from` to `until`, not included.
    pub fn add_outage(&mut self, from: TimeUs, until: TimeUs) {
        self.outages.push((from, until));
    }

    /// Adds to the time that answers take, until set anew.
    pub fn set_slowness(&mut self, extra: SpanUs) {
        self.extra_delay = extra;
    }

    /// Fixes what becomes of the next appends; `None` lets one succeed. Later ones follow the
    /// settings again.
    pub fn script(&mut self, faults: impl IntoIterator<Item = Option<AppendFault>>) {
        self.script.extend(faults);
    }

    /// How long the answer to a request takes that comes now.
    #[must_use]
    pub fn response_delay(&self) -> SpanUs {
        self.settings.response_us + self.extra_delay
    }

    /// The batches and the records that were written.
    #[must_use]
    pub const fn written(&self) -> (u64, u64) {
        (self.appends, self.records)
    }

    /// Appends records as one batch.
    ///
    /// # Errors
    ///
    /// Any [`LogError`]; only after [`LogError::NoResponse`] may the records be in the log.
    pub fn append(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        records: Vec<String>,
    ) -> Result<AppendResponse, LogError> {
        self.settle(now);
        if self.is_down(now) {
            return Err(LogError::Down);
        }
        self.spend_credit(now)?;
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
                self.late.push(LateWrite {
                    due_us: now.after(span),
                    stream,
                    records,
                });
                Err(LogError::NoResponse)
            }
        }
    }

    /// Reads at most `max` records from `from` on.
    ///
    /// # Errors
    ///
    /// [`LogError::Down`] in an outage.
    pub fn read(
        &mut self,
        now: TimeUs,
        stream: StreamName,
        from: Offset,
        max: usize,
    ) -> Result<ReadResponse, LogError> {
        self.settle(now);
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

    /// Makes the late writes whose time has come and drops what is too old.
    fn settle(&mut self, now: TimeUs) {
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|write: &LateWrite| write.due_us <= now);
        self.late = later;
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

    fn spend_credit(&mut self, now: TimeUs) -> Result<(), LogError> {
        let rate_milli = self.settings.append_rate.0;
        let most = u64::from(self.settings.append_burst.max(1)) * 1_000;
        let earned = now.since(self.credit_us).0 * rate_milli / 1_000_000;
        if earned > 0 {
            self.credit_milli = (self.credit_milli + earned).min(most);
            self.credit_us = now;
        }
        if self.credit_milli < 1_000 {
            let missing = (1_000 - self.credit_milli) * 1_000_000;
            let wait = missing.div_ceil(rate_milli.max(1));
            return Err(LogError::RateLimited(SpanUs(wait)));
        }
        self.credit_milli -= 1_000;
        Ok(())
    }

    fn next_fault(&mut self) -> Option<AppendFault> {
        if let Some(scripted) = self.script.pop_front() {
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
