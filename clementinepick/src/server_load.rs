//! What one process believes of the load of backend servers.
//!
//! A process knows its own requests at a server and learns of the others' from what the server's
//! answers report. With many processes and servers it hears from one server every few seconds, so
//! that most of what it knows is old. A server that it knows nothing new of is taken to be as loaded
//! as the others are on average, and not as idle.
//!
//! ```
//! use clementinepick::server_load::{LoadReport, mean_others};
//! use clementinepick::units::TimeUs;
//!
//! let report = LoadReport { others: 8, at: TimeUs(0) };
//! let mean = mean_others([report].iter(), TimeUs(0));
//! assert_eq!(mean, 8.0);
//! ```

use crate::units::{SpanUs, TimeUs};

/// After this time, half of what a report says of a server still counts, and the mean of all servers
/// for the other half. Requests to engines last some 300 ms, so that by then half of those that were
/// reported have ended and others have come.
const HALF_LIFE_US: SpanUs = SpanUs::from_ms(300);

/// What a server's answer said of the requests of other processes there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// How many requests of other processes it had, running and waiting.
    pub others: u32,
    /// When the answer came.
    pub at: TimeUs,
}

impl LoadReport {
    /// How much of the report still counts, from 1 down to 0.
    #[must_use]
    pub fn weight(&self, now: TimeUs) -> f64 {
        let age = now.since(self.at).as_s_f64();
        (-age / HALF_LIFE_US.as_s_f64()).exp2()
    }
}

/// How many requests of other processes a server has on average, by reports of several servers.
#[must_use]
pub fn mean_others<'a>(reports: impl Iterator<Item = &'a LoadReport>, now: TimeUs) -> f64 {
    let (mut sum, mut weights) = (0.0, 0.0);
    for report in reports {
        let weight = report.weight(now);
        sum += weight * f64::from(report.others);
        weights += weight;
    }
    if weights > 0.0 { sum / weights } else { 0.0 }
}

/// How many requests of other processes a server probably has, by its own report and the mean.
#[must_use]
pub fn believed_others(report: Option<&LoadReport>, mean: f64, now: TimeUs) -> f64 {
    report.map_or(mean, |report| {
        let weight = report.weight(now);
        weight * f64::from(report.others) + (1.0 - weight) * mean
    })
}
