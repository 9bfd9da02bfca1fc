//! Decides how long servers may take to say which start they are before the rest of a stream is sent
//! there.
//!
//! Most answer within a round trip, and another server can be asked while one is silent. Where all are
//! busy or far, a longer wait is better for the caller than a refusal.

use std::time::Duration;

use crate::server_probe::PROBE_TIMEOUT;

/// The number of servers that are asked for a short time each before any is waited for.
const QUICK_QUESTIONS: usize = 2;
/// How long a server is waited for: callers give up a stream after a gap of two seconds.
const PATIENT_LIMIT: Duration = Duration::from_millis(1_200);
/// The number of servers that are waited for.
const PATIENT_QUESTIONS: usize = 2;

/// The questions of one request that servers have not answered in time.
#[derive(Debug, Default)]
pub(crate) struct StartPatience {
    /// The servers that were asked for a short time.
    unanswered: Vec<String>,
    is_patient: bool,
    patient_questions: usize,
}

impl StartPatience {
    /// Returns how long the next server may take.
    pub(crate) fn question_limit(&self) -> Duration {
        if self.is_patient {
            PATIENT_LIMIT
        } else {
            PROBE_TIMEOUT
        }
    }

    /// Records that a server has not answered in time.
    pub(crate) fn record_unanswered(&mut self, server: &str) {
        if self.is_patient {
            self.patient_questions += 1;
        } else {
            self.unanswered.push(server.to_owned());
        }
    }

    /// Returns whether servers should be waited for from now on.
    pub(crate) fn is_due(&self) -> bool {
        self.unanswered.len() >= QUICK_QUESTIONS
    }

    /// Returns whether no further server should be asked.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.patient_questions >= PATIENT_QUESTIONS
    }

    /// Lets servers take longer from now on, those of `tried` included that have not answered; returns false
    /// if that changes nothing.
    pub(crate) fn extend(&mut self, tried: &mut Vec<String>) -> bool {
        if self.is_patient || self.unanswered.is_empty() {
            return false;
        }
        self.is_patient = true;
        tried.retain(|server| !self.unanswered.contains(server));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against one silent server that a caller waits for while another one answers.
    #[test]
    fn servers_are_waited_for_after_all_were_asked_or_two_did_not_answer() {
        let mut tried = vec!["a".to_owned()];
        let mut patience = StartPatience::default();
        assert!(!patience.extend(&mut tried));
        patience.record_unanswered("a");
        assert!(!patience.is_due());
        assert_eq!(patience.question_limit(), PROBE_TIMEOUT);
        tried.push("b".to_owned());
        patience.record_unanswered("b");
        assert!(patience.is_due());
        assert!(patience.extend(&mut tried));
        assert!(tried.is_empty());
        assert_eq!(patience.question_limit(), PATIENT_LIMIT);
    }

    /// Guards against requests that ask silent servers until their deadline.
    #[test]
    fn a_request_waits_for_two_servers_at_most() {
        let mut patience = StartPatience::default();
        patience.record_unanswered("a");
        assert!(patience.extend(&mut Vec::new()));
        for server in ["a", "b"] {
            assert!(!patience.is_exhausted());
            patience.record_unanswered(server);
        }
        assert!(patience.is_exhausted());
        assert!(!patience.extend(&mut Vec::new()));
    }
}
