//! Collects the steps of one request for its log line.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::time::Instant;

use clementinepick::event::Event;
use clementinepick::server_list::BackendServer;
use clementinepick::server_selection::SelectionReason;
use clementinepick::units::SpanUs;

use crate::gateway_loss::OpenLoss;

/// The steps that a request has reached.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// The kind of the request in metrics; empty before its route is known.
    pub(crate) kind: Cell<&'static str>,
    /// Whether a server may be running the request or may have run it.
    pub(crate) may_have_run: Cell<bool>,
    /// When the caller of a given-up request may return.
    pub(crate) retry_after: Cell<Option<SpanUs>>,
    /// The status that was sent to the caller; 0 before the head of a response was sent.
    pub(crate) status: Cell<u16>,
    /// The run that is in progress.
    pub(crate) open_run: RefCell<Option<OpenLoss>>,
    servers: RefCell<Vec<String>>,
    /// The software versions of these servers.
    versions: RefCell<Vec<String>>,
    /// Why each of these servers was chosen.
    reasons: RefCell<Vec<SelectionReason>>,
    admitted: Cell<Option<Instant>>,
    placed: Cell<Option<Instant>>,
    first_byte: Cell<Option<Instant>>,
    generated: Cell<Option<Instant>>,
    fields: RefCell<Vec<(&'static str, String)>>,
    /// How often a server was silent and no other could take over.
    silences: Cell<u32>,
    /// The last of these servers, and why no other could take over.
    silent_server: RefCell<String>,
}

impl Trace {
    /// Records when the budget was reserved and the context was read.
    pub(crate) fn record_admitted(&self, now: Instant) {
        self.admitted.set(Some(now));
    }

    /// Records that the request is about to be sent to a server.
    pub(crate) fn record_send(
        &self,
        server: &BackendServer,
        reason: SelectionReason,
        now: Instant,
    ) {
        self.may_have_run.set(true);
        self.placed.set(Some(now));
        self.servers.borrow_mut().push(server.id.clone());
        self.versions.borrow_mut().push(server.version.to_string());
        self.reasons.borrow_mut().push(reason);
    }

    /// Records why a server brought no response.
    pub(crate) fn record_error(&self, server_id: &str, label: &str) {
        let mut servers = self.servers.borrow_mut();
        let is_server = |server: &&mut String| *server == server_id;
        if let Some(server) = servers.iter_mut().rfind(is_server) {
            server.push(':');
            server.push_str(label);
        }
    }

    /// Records that a server is silent, and why no other can take over.
    pub(crate) fn record_silence(&self, server_id: &str, reason: &str) {
        self.silences.set(self.silences.get() + 1);
        *self.silent_server.borrow_mut() = format!("{server_id}:{reason}");
    }

    /// Records when the first event or the head of the response arrived.
    pub(crate) fn record_first_byte(&self, now: Instant) {
        if self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
    }

    /// Records when the last event arrived; the turn's record may still have to be written.
    pub(crate) fn record_generated(&self, now: Instant) {
        self.generated.set(Some(now));
    }

    /// Adds a field to the log line.
    pub(crate) fn add_field(&self, name: &'static str, value: &dyn Display) {
        self.fields.borrow_mut().push((name, value.to_string()));
    }

    /// Adds a field to the log line, or replaces it.
    pub(crate) fn set_field(&self, name: &'static str, value: &dyn Display) {
        self.fields.borrow_mut().retain(|(known, _)| *known != name);
        self.add_field(name, value);
    }

    /// Adds the fields and the steps to an event; times are in milliseconds after the request's
    /// arrival.
    pub(crate) fn add_to_event(&self, mut event: Event, arrived: Instant) -> Event {
        let steps = [
            ("admitted_ms", &self.admitted),
            ("placed_ms", &self.placed),
            ("first_byte_ms", &self.first_byte),
            ("generated_ms", &self.generated),
        ];
        for (name, step) in steps {
            if let Some(at) = step.get() {
                event = event.with(name, at.duration_since(arrived).as_millis());
            }
        }
        for (name, value) in self.fields.borrow().iter() {
            event = event.with(name, value);
        }
        if self.silences.get() > 0 {
            event = event.with("silences", self.silences.get());
            event = event.with("silent_server", self.silent_server.borrow());
        }
        let servers = self.servers.borrow();
        if !servers.is_empty() {
            event = event.with("servers", servers.join(","));
            event = event.with("versions", self.versions.borrow().join(","));
            let reasons = self.reasons.borrow();
            let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
            event = event.with("chosen_by", reasons.join("; "));
        }
        event
    }
}
