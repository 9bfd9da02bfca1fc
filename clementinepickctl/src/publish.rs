//! What `publish` does next: read, append, read back.
//!
//! The record's id follows from the operation's, so that the same operation appended twice is one
//! publication to every reader. That is why a lost answer may be met by appending again.

use clementinepick::config_replay::{Publication, Verdict};
use clementinepick::document::Document;
use clementinepick::ids::{
    Incarnation, Offset, OperationId, RecordId, Revision, ServiceName, VmId,
};
use clementinepick::journal::AppendOutcome;
use clementinepick::platform::ReadResponse;
use clementinepick::record::{Record, RecordBody};
use clementinepick::units::SpanUs;

use crate::config_reader::ConfigReader;

/// Sets the records of publications apart from others in the space of ids.
const RECORD_ID_MASK: u128 = 0x636c_656d_2d70_7562_6c69_7368_2d69_6431;

/// What to publish, and how long to try.
#[derive(Debug, Clone)]
pub struct PublishSettings {
    /// Names this run.
    pub operation: OperationId,
    /// Who runs it.
    pub author: VmId,
    /// The revision that the document was written from; absent: the one in force.
    pub base: Option<Revision>,
    /// Whether an earlier run may have appended this operation.
    pub is_resume: bool,
    /// The document's text; absent: only find out.
    pub text: Option<String>,
    /// How often the log may fail.
    pub max_failures: u32,
    /// The wait after the first failure; it doubles.
    pub backoff_us: SpanUs,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read on and report with [`Publish::on_read`].
    Read {
        /// The first offset wanted.
        from: Offset,
        /// How long to wait before.
        after_us: SpanUs,
    },
    /// Append and report with [`Publish::on_append`].
    Append {
        /// The record.
        record: Box<Record>,
        /// How long to wait before.
        after_us: SpanUs,
    },
    /// Done.
    Finished(PublishOutcome),
}

/// How it ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The log holds the publication, and this became of it.
    Recorded(Publication),
    /// The document in force has this text already; nothing was appended.
    Unchanged {
        /// The service.
        service: ServiceName,
        /// The revision in force.
        revision: Revision,
    },
    /// The document is wrong; nothing was appended.
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// The log can't be read; nothing was appended.
    LogUnreachable,
    /// The log refused every append; nothing was appended.
    Refused,
    /// The log does not hold the operation, as far as it was read.
    NotFound {
        /// The offset up to which it was read.
        end: Offset,
    },
    /// An append may have taken effect, and the log does not say.
    Unknown {
        /// The base to resume with.
        base: Revision,
    },
    /// The log has dropped records that no snapshot covers.
    Incomplete,
}

/// One run of `publish`.
#[derive(Debug)]
pub struct Publish {
    settings: PublishSettings,
    service: Option<ServiceName>,
    reader: ConfigReader,
    base: Option<Revision>,
    may_be_appended: bool,
    /// The end of the stream when the last append was answered: the record is awaited below it.
    appended_at: Option<Offset>,
    failures: u32,
}

impl Publish {
    /// A run that has done nothing yet.
    #[must_use]
    pub fn new(settings: PublishSettings) -> Self {
        Self {
            may_be_appended: settings.is_resume,
            base: settings.base,
            settings,
            service: None,
            reader: ConfigReader::default(),
            appended_at: None,
            failures: 0,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        if let Some(text) = &self.settings.text {
            match Document::parse(text) {
                Ok(document) => self.service = Some(document.service),
                Err(err) => {
                    let detail = err.to_string();
                    return Step::Finished(PublishOutcome::Invalid { detail });
                }
            }
        }
        self.read(SpanUs(0))
    }

    const fn read(&self, after_us: SpanUs) -> Step {
        Step::Read {
            from: self.reader.position,
            after_us,
        }
    }

    /// Takes the log's answer to a read; `None` when it failed.
    pub fn on_read(&mut self, answer: Option<&ReadResponse>) -> Step {
        let Some(answer) = answer else {
            return match self.fail() {
                Some(wait) => self.read(wait),
                None => Step::Finished(self.gave_up()),
            };
        };
        self.reader.replay_batch(answer);
        if let Some(found) = self
            .reader
            .replay
            .state()
            .publication(self.settings.operation)
        {
            return Step::Finished(PublishOutcome::Recorded(found.clone()));
        }
        if self.reader.position < answer.end {
            return self.read(SpanUs(0));
        }
        if !self.reader.replay.is_complete() {
            return Step::Finished(PublishOutcome::Incomplete);
        }
        if self
            .appended_at
            .is_some_and(|offset| self.reader.position <= offset)
        {
            // The append was answered, and the reader is served from a copy that lags.
            return match self.fail() {
                Some(wait) => self.read(wait),
                None => Step::Finished(self.gave_up()),
            };
        }
        self.at_end(answer.end)
    }

    fn at_end(&mut self, end: Offset) -> Step {
        let (Some(text), Some(service)) = (&self.settings.text, &self.service) else {
            return Step::Finished(PublishOutcome::NotFound { end });
        };
        let revision = self.reader.replay.state().revision(service);
        let current = self.reader.replay.state().documents.get(service);
        if !self.may_be_appended && current.is_some_and(|current| current.text == *text) {
            let service = service.clone();
            return Step::Finished(PublishOutcome::Unchanged { service, revision });
        }
        // The base stays what it was at the first append. A later one would replace, unseen, what
        // another operator has published in between.
        let base = *self.base.get_or_insert(revision);
        let record = Record {
            id: RecordId(self.settings.operation.0 ^ RECORD_ID_MASK),
            writer: self.settings.author.clone(),
            incarnation: Incarnation(0),
            body: RecordBody::Publish {
                operation: self.settings.operation,
                service: service.clone(),
                base,
                document: text.clone(),
            },
        };
        Step::Append {
            record: Box::new(record),
            after_us: SpanUs(0),
        }
    }

    /// Takes the log's answer to an append.
    pub fn on_append(&mut self, outcome: AppendOutcome) -> Step {
        match outcome {
            AppendOutcome::Appended(offset) => {
                self.may_be_appended = true;
                self.appended_at = Some(offset);
                self.read(SpanUs(0))
            }
            AppendOutcome::Unknown => {
                self.may_be_appended = true;
                match self.fail() {
                    Some(wait) => self.read(wait),
                    None => Step::Finished(self.gave_up()),
                }
            }
            AppendOutcome::Refused => match self.fail() {
                Some(wait) => self.read(wait),
                None if self.may_be_appended => Step::Finished(self.gave_up()),
                None => Step::Finished(PublishOutcome::Refused),
            },
        }
    }

    /// Counts a failure; the wait before the next attempt, unless there were too many.
    fn fail(&mut self) -> Option<SpanUs> {
        self.failures += 1;
        let doublings = self.failures.saturating_sub(1).min(4);
        let wait = SpanUs(self.settings.backoff_us.0 << doublings);
        (self.failures < self.settings.max_failures).then_some(wait)
    }

    fn gave_up(&self) -> PublishOutcome {
        if self.may_be_appended {
            let base = self.base.unwrap_or_default();
            PublishOutcome::Unknown { base }
        } else {
            PublishOutcome::LogUnreachable
        }
    }
}

/// One sentence about a verdict.
#[must_use]
pub fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision } => format!("accepted as revision {revision}"),
        Verdict::Outrun { revision, author } => {
            format!("outrun by {author}: revision {revision} is in force")
        }
        Verdict::Wrong { detail } => format!("wrong: {detail}"),
    }
}
