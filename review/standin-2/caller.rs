//! A caller: sends turns on a connection that it keeps.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Client, find};
use crate::world::HOST;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered(u16),
    /// An answer that broke off.
    Partial(u16),
    /// The connection was closed without an answer.
    Unanswered,
    /// No connection, or the request could not be sent.
    Unsent,
    /// The time of the caller is over.
    TimedOut,
}

pub struct Turn<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub program: &'a str,
    pub session: &'a str,
    pub previous: Option<&'a str>,
    pub budget: u64,
    pub prompt_tokens: u64,
    pub most_tokens: u64,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

#[derive(Default)]
pub struct Caller {
    kept: Option<(SocketAddr, Client)>,
    pub retry_after_s: Option<f64>,
}

pub struct Sent {
    pub outcome: Outcome,
    /// Whether the connection had carried a request before.
    pub was_kept: bool,
}

impl Turn<'_> {
    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("Request-Id", self.id.to_owned()),
            ("Model", "m".to_owned()),
            ("Program-Id", self.program.to_owned()),
            ("Session-Id", self.session.to_owned()),
            ("Program-Deadline-Ms", "60000".to_owned()),
            ("Token-Budget", self.budget.to_string()),
            (
                "Token-Usage",
                format!("{},{}", self.prompt_tokens, self.most_tokens),
            ),
            (
                "Prompt-Prefix",
                format!("5c1e07a2:10,{}:{}", self.session, self.prompt_tokens),
            ),
            ("Deadline-Ms", self.deadline_ms.to_string()),
        ];
        if let Some(previous) = self.previous {
            headers.push(("Previous-Turn", previous.to_owned()));
        }
        headers
    }
}

fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

impl Caller {
    /// Closes the connection.
    pub fn leave(&mut self) {
        self.kept = None;
    }

    /// Sends a turn to a gateway, over the kept connection if there is one, and reads the answer.
    pub fn send(&mut self, gateway: SocketAddr, turn: &Turn<'_>) -> Sent {
        self.retry_after_s = None;
        let kept = self
            .kept
            .take()
            .filter(|(address, client)| *address == gateway && !client.conn.is_closed());
        let was_kept = kept.is_some();
        let limit = Duration::from_millis(turn.deadline_ms + 500);
        let client = kept
            .map(|(_, client)| client)
            .or_else(|| Client::open(gateway, limit).ok());
        let Some(mut client) = client else {
            return Sent {
                outcome: Outcome::Unsent,
                was_kept,
            };
        };
        if client
            .send("POST", turn.path, &turn.headers(), turn.body)
            .is_err()
        {
            // The answer may be there already.
            if let Ok(head) = client.read_head() {
                return Sent {
                    outcome: Outcome::Partial(head.status),
                    was_kept,
                };
            }
            return Sent {
                outcome: Outcome::Unsent,
                was_kept,
            };
        }
        let head = match client.read_head() {
            Ok(head) => head,
            Err(err) if is_timeout(&err) => {
                return Sent {
                    outcome: Outcome::TimedOut,
                    was_kept,
                };
            }
            Err(_) => {
                return Sent {
                    outcome: Outcome::Unanswered,
                    was_kept,
                };
            }
        };
        self.retry_after_s = find(&head.headers, "retry-after").and_then(|r| r.parse().ok());
        let outcome = match client.read_body(&head) {
            Ok(_) => Outcome::Answered(head.status),
            Err(err) if is_timeout(&err) => Outcome::TimedOut,
            Err(_) => Outcome::Partial(head.status),
        };
        let closes =
            find(&head.headers, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        if matches!(outcome, Outcome::Answered(_)) && !closes {
            self.kept = Some((gateway, client));
        }
        Sent { outcome, was_kept }
    }
}
