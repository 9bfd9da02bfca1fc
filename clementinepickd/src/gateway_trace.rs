//! What happened to one request, for its log line.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::time::Instant;

use clementinepick::event::Event;
use clementinepick::server_selection::SelectionReason;

/// The steps of a request as they are reached.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// What the request is, for metrics; empty before its route is known.
    pub(crate) kind: Cell<&'static str>,
    /// Whether a server may be running it or may have run it.
    pub(crate) may_have_run: Cell<bool>,
    /// The status that the caller has got so far; 0 before the head of an answer was passed on.
    pub(crate) status: Cell<u16>,
    servers: RefCell<Vec<String>>,
    /// Why each of them was chosen.
    reasons: RefCell<Vec<SelectionReason>>,
    admitted: Cell<Option<Instant>>,
    placed: Cell<Option<Instant>>,
    first_byte: Cell<Option<Instant>>,
    generated: Cell<Option<Instant>>,
    inputs: RefCell<Vec<(&'static str, String)>>,
}

impl Trace {
    /// Budget and context are there.
    pub(crate) fn record_admitted(&self, now: Instant) {
        self.admitted.set(Some(now));
    }

    /// The request is about to be sent to a server.
    pub(crate) fn record_send(&self, server: &str, reason: SelectionReason, now: Instant) {
        self.may_have_run.set(true);
        self.placed.set(Some(now));
        self.servers.borrow_mut().push(server.to_owned());
        self.reasons.borrow_mut().push(reason);
    }

    /// The last server that it was sent to brought no answer.
    pub(crate) fn record_error(&self, how: &str) {
        if let Some(server) = self.servers.borrow_mut().last_mut() {
            server.push(':');
            server.push_str(how);
        }
    }

    /// The first event or the head of the answer came.
    pub(crate) fn record_first_byte(&self, now: Instant) {
        if self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
    }

    /// The last event came; the turn's record may still have to be written.
    pub(crate) fn record_generated(&self, now: Instant) {
        self.generated.set(Some(now));
    }

    /// An input of the decision that ended the request.
    pub(crate) fn add_field(&self, name: &'static str, value: &dyn Display) {
        self.inputs.borrow_mut().push((name, value.to_string()));
    }

    /// Adds the steps to an event, in milliseconds after the request's arrival.
    pub(crate) fn describe(&self, mut event: Event, arrived: Instant) -> Event {
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
        for (name, value) in self.inputs.borrow().iter() {
            event = event.with(name, value);
        }
        let servers = self.servers.borrow();
        if !servers.is_empty() {
            event = event.with("servers", servers.join(","));
            let reasons = self.reasons.borrow();
            let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
            event = event.with("chosen_by", reasons.join("; "));
        }
        event
    }
}
