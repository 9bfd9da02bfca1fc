//! Pools idle connections by server address.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::outbound::{Connection, OutboundError};

/// How long an idle connection is kept if the server announces no keep-alive timeout. Such servers
/// keep connections for longer than the pauses between the requests of one program.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is dropped this long before the server would close it, so that no request is sent
/// while the server is closing.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A pool of idle connections.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection, or opens a new one within `limit`.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Connection, OutboundError> {
        if let Some(connection) = self.take_idle(address, now) {
            return Ok(connection);
        }
        Connection::open(address, limit, now).await
    }

    /// Returns a connection to a backend server, as [`acquire`](Self::acquire) does.
    pub(crate) async fn acquire_server(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> Result<Connection, OutboundError> {
        if let Some(connection) = self.take_idle(address, now) {
            return Ok(connection);
        }
        Connection::open_to_server(address, limit, now).await
    }

    /// Returns an idle connection, if there is one.
    pub(crate) fn take_idle(&self, address: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !is_stale(&connection, now) && connection.is_healthy() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns whether there is an idle connection that was opened before `before`.
    pub(crate) fn has_older(&self, address: SocketAddr, before: Instant) -> bool {
        let idle = self.idle.borrow();
        let mut connections = idle.get(&address).into_iter().flatten();
        connections.any(|c| c.opened_at < before && c.is_healthy())
    }

    /// Takes an idle connection that was opened before `before`, if there is one.
    pub(crate) fn take_older(&self, address: SocketAddr, before: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let is_older = |c: &Connection| c.opened_at < before && c.is_healthy();
        let position = connections.iter().position(is_older)?;
        Some(connections.swap_remove(position))
    }

    /// Returns whether all idle connections to other addresses that were opened before `before` are
    /// broken, as after a fault of this process's own links; false if there are none.
    pub(crate) fn are_others_broken(&self, address: SocketAddr, before: Instant) -> bool {
        let idle = self.idle.borrow();
        let others = idle.iter().filter(|(other, _)| **other != address);
        let mut older = others
            .flat_map(|(_, connections)| connections)
            .filter(|connection| connection.opened_at < before)
            .peekable();
        older.peek().is_some() && older.all(|connection| !connection.is_healthy())
    }

    /// Returns a connection to the pool, or closes it if it can't be reused.
    pub(crate) fn release(&self, address: SocketAddr, mut connection: Connection, now: Instant) {
        if !connection.can_be_reused() {
            return;
        }
        connection.set_idle(now);
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_all(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that are past their keep-alive timeout or no longer healthy.
    pub(crate) fn close_stale(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| !is_stale(connection, now) && connection.is_healthy());
            !connections.is_empty()
        });
    }
}

/// Returns whether the server may soon close an idle connection, or has.
pub(crate) fn is_stale(connection: &Connection, now: Instant) -> bool {
    let keep_alive = connection.keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
    let limit = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
    now.saturating_duration_since(connection.idle_since) >= limit
}
