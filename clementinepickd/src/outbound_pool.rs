//! Idle connections, by address.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::outbound::{Connection, OutboundError};

/// How long an idle connection is kept where the other side says nothing of it. Servers that say
/// nothing keep them for longer than the pauses between the requests of one program.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is given up this long before the other side would close it, so that a request does
/// not cross the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Idle connections that may be used again.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// An idle connection, or a new one.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Connection, OutboundError> {
        if let Some(connection) = self.take(address, now) {
            return Ok(connection);
        }
        Connection::open(address, limit, now).await
    }

    fn take(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !is_stale(&connection, now) && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for another exchange if it can carry one.
    pub(crate) fn release(&self, address: SocketAddr, mut connection: Connection, now: Instant) {
        if !connection.can_be_kept() {
            return;
        }
        connection.rest(now);
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_stale(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| !is_stale(connection, now) && connection.is_quiet());
            !connections.is_empty()
        });
    }
}

fn is_stale(connection: &Connection, now: Instant) -> bool {
    let keep_alive = connection.keep_alive.unwrap_or(KEEP_ALIVE);
    let limit = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
    now.saturating_duration_since(connection.idle_since) >= limit
}
