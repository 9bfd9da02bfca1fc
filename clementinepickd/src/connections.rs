//! Accounts for the connections of a listener: asks for memory before it is taken, and tells connections
//! that have to give way.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementinepick::connection_account::{
    AccountLimits, Claim, ConnectionAccount, ConnectionId, ConnectionState, MAX_EXCESS,
};
use clementinepick::event::{Event, EventKind};
use clementinepick::units::{Bytes, TimeUs};
use tokio::sync::Notify;

use crate::monotonic_clock::MonotonicClock;
use crate::signal::Signal;

/// How many connections that give way may still be open before further ones are accepted.
const MAX_LEAVING: usize = 64;
/// The shortest interval between two log lines about connections that give way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The limit at which a connection gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitKind {
    Memory,
    Connections,
}

impl LimitKind {
    /// Returns the name used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// How many connections gave way, and how many claims were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct GaveWay {
    pub(crate) by_memory: u64,
    pub(crate) by_connections: u64,
    pub(crate) refused: u64,
}

/// The connections of a listener.
pub(crate) struct Connections {
    account: RefCell<ConnectionAccount>,
    clock: MonotonicClock,
    /// Notified when a connection that gives way releases memory, and when one is closed.
    released: Notify,
    signals: RefCell<BTreeMap<ConnectionId, Rc<Signal>>>,
    gave_way: Cell<GaveWay>,
    logged: Cell<GaveWay>,
    logged_at: Cell<Option<Instant>>,
}

impl Connections {
    pub(crate) fn new(limits: AccountLimits, now: Instant) -> Self {
        Self {
            account: RefCell::new(ConnectionAccount::new(limits)),
            clock: MonotonicClock::starting_at(now),
            released: Notify::new(),
            signals: RefCell::default(),
            gave_way: Cell::default(),
            logged: Cell::default(),
            logged_at: Cell::default(),
        }
    }

    /// Returns how much memory the connections hold.
    pub(crate) fn used(&self) -> Bytes {
        self.account.borrow().used()
    }

    /// Returns how many connections are open.
    pub(crate) fn open_count(&self) -> usize {
        self.account.borrow().open_count()
    }

    /// Returns how many connections gave way so far.
    pub(crate) fn gave_way(&self) -> GaveWay {
        self.gave_way.get()
    }

    /// Adds a connection.
    pub(crate) fn open(self: &Rc<Self>, now: Instant) -> OpenConnection {
        let opened = self.account.borrow_mut().open(self.at(now));
        for id in opened.give_way {
            self.tell(id, LimitKind::Connections);
        }
        if opened.is_excess {
            self.count_refused();
        }
        let id = opened.id;
        let gives_way = Rc::new(Signal::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&gives_way));
        OpenConnection {
            connections: Rc::clone(self),
            id,
            is_excess: opened.is_excess,
            gives_way,
        }
    }

    /// Makes a connection without a complete request give way, since no descriptors are left.
    pub(crate) fn make_room(&self, now: Instant) {
        let id = self.account.borrow_mut().make_room(self.at(now));
        if let Some(id) = id {
            self.tell(id, LimitKind::Connections);
        }
    }

    /// Returns once few enough connections that give way are still open.
    pub(crate) async fn wait_for_leaving(&self) {
        loop {
            let released = self.released.notified();
            let limit = self.account.borrow().limits().connections;
            if self.open_count() < limit.saturating_add(MAX_EXCESS + MAX_LEAVING) {
                return;
            }
            released.await;
        }
    }

    /// Returns an event about the connections that gave way since the last one, at most every
    /// [`LOG_INTERVAL`].
    pub(crate) fn report(&self, now: Instant) -> Option<Event> {
        let (total, logged) = (self.gave_way.get(), self.logged.get());
        let logged_at = self.logged_at.get();
        if total == logged || logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            return None;
        }
        self.logged.set(total);
        self.logged_at.set(Some(now));
        let by_memory = total.by_memory - logged.by_memory;
        let by_connections = total.by_connections - logged.by_connections;
        let limit = if by_memory > by_connections {
            LimitKind::Memory
        } else {
            LimitKind::Connections
        };
        let event = Event::new(EventKind::ConnectionsGaveWay)
            .with("count", by_memory + by_connections)
            .with("limit", limit.label())
            .with("refused", total.refused - logged.refused)
            .with("held_bytes", self.used().0)
            .with("open", self.open_count());
        Some(event)
    }

    fn at(&self, now: Instant) -> TimeUs {
        self.clock.at(now)
    }

    fn tell(&self, id: ConnectionId, limit: LimitKind) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.set();
        }
        let mut gave_way = self.gave_way.get();
        match limit {
            LimitKind::Memory => gave_way.by_memory += 1,
            LimitKind::Connections => gave_way.by_connections += 1,
        }
        self.gave_way.set(gave_way);
    }

    fn count_refused(&self) {
        let mut gave_way = self.gave_way.get();
        gave_way.refused += 1;
        self.gave_way.set(gave_way);
    }
}

/// An open connection, which is counted until this is dropped.
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    id: ConnectionId,
    /// Whether its requests are refused, since requests run on all connections that there may be.
    pub(crate) is_excess: bool,
    gives_way: Rc<Signal>,
}

impl OpenConnection {
    /// Returns an empty claim.
    pub(crate) fn claim(&self) -> MemoryClaim<'_> {
        MemoryClaim {
            connection: self,
            bytes: 0,
        }
    }

    /// Returns once this connection has to give way.
    pub(crate) async fn wait_to_give_way(&self) {
        self.gives_way.wait().await;
    }

    pub(crate) fn set_idle(&self, now: Instant) {
        let since = self.connections.at(now);
        self.set_state(ConnectionState::Idle { since });
    }

    /// Begins a request of which some bytes have arrived.
    pub(crate) fn set_receiving(&self, now: Instant, received_bytes: usize) {
        let since = self.connections.at(now);
        let state = ConnectionState::receiving(since, to_bytes(received_bytes));
        self.set_state(state);
    }

    /// Says that a request is complete and runs, even if its connection had to give way just now.
    pub(crate) fn set_running(&self) {
        self.set_over(ConnectionState::Running);
    }

    /// Says that the caller does not take a response.
    pub(crate) fn set_unread(&self, now: Instant) {
        let since = self.connections.at(now);
        self.set_state(ConnectionState::Unread { since });
    }

    /// Says that the connection is open only until its caller has read its last response.
    pub(crate) fn set_closing(&self) {
        self.set_over(ConnectionState::Closing);
    }

    fn set_over(&self, state: ConnectionState) {
        self.set_state(state);
        if self.gives_way.is_set() {
            self.gives_way.clear();
            // Claims that wait for this connection have to choose another.
            self.connections.released.notify_waiters();
        }
    }

    pub(crate) fn record_received(&self, count: usize) {
        let mut account = self.connections.account.borrow_mut();
        account.record_received(self.id, to_bytes(count));
    }

    /// Returns whether a request of `bytes` could be received now.
    pub(crate) fn has_room(&self, now: Instant, bytes: usize) -> bool {
        let account = self.connections.account.borrow();
        account.has_room(self.connections.at(now), to_bytes(bytes))
    }

    fn set_state(&self, state: ConnectionState) {
        let mut account = self.connections.account.borrow_mut();
        account.set_state(self.id, state);
    }

    async fn grow(&self, more: Bytes) -> bool {
        let connections = &self.connections;
        loop {
            let released = connections.released.notified();
            let now = connections.at(Instant::now());
            let claim = connections.account.borrow_mut().grow(now, self.id, more);
            match claim {
                Claim::Granted => return true,
                Claim::Refused => {
                    connections.count_refused();
                    return false;
                }
                Claim::GivesWay(id) => connections.tell(id, LimitKind::Memory),
                Claim::Pending => {}
            }
            released.await;
        }
    }

    fn grow_read_ahead(&self, more: Bytes) -> bool {
        let mut account = self.connections.account.borrow_mut();
        account.grow_read_ahead(self.id, more)
    }

    fn shrink(&self, less: Bytes) {
        self.connections.account.borrow_mut().shrink(self.id, less);
        self.connections.released.notify_waiters();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.signals.borrow_mut().remove(&self.id);
        self.connections.account.borrow_mut().close(self.id);
        self.connections.released.notify_waiters();
    }
}

/// Memory that a connection holds, released once this is dropped.
pub(crate) struct MemoryClaim<'a> {
    connection: &'a OpenConnection,
    bytes: usize,
}

impl<'a> MemoryClaim<'a> {
    /// Claims memory up to `bytes`, waiting for connections that give way; returns false if there is none.
    #[must_use]
    pub(crate) async fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let is_granted = self.connection.grow(to_bytes(more)).await;
        if is_granted {
            self.bytes += more;
        }
        is_granted
    }

    /// Claims memory up to `bytes` for input behind a running request.
    #[must_use]
    pub(crate) fn grow_read_ahead_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let is_granted = self.connection.grow_read_ahead(to_bytes(more));
        if is_granted {
            self.bytes += more;
        }
        is_granted
    }

    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.connection.shrink(to_bytes(less));
            self.bytes -= less;
        }
    }

    /// Returns this claim and leaves an empty one.
    pub(crate) fn take(&mut self) -> MemoryClaim<'a> {
        std::mem::replace(self, self.connection.claim())
    }
}

impl Drop for MemoryClaim<'_> {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

fn to_bytes(bytes: usize) -> Bytes {
    Bytes(u64::try_from(bytes).unwrap_or(u64::MAX))
}
