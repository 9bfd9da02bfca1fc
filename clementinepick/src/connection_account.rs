//! Accounts for what the connections of a listener hold, and selects which of them gives way when a limit
//! is reached.
//!
//! Memory is claimed before it is taken. At a limit, the connection gives way that has kept the most for
//! the longest without completing its request, or without taking its response. A request that arrives at
//! a usual rate is not late, and one that runs never gives way: without any late one, the claim itself is
//! refused.
//!
//! ```
//! use clementinepick::connection_account::{AccountLimits, Claim, ConnectionAccount, ConnectionState};
//! use clementinepick::units::{Bytes, TimeUs};
//!
//! let limits = AccountLimits { memory: Bytes(100_000), connections: 10 };
//! let mut account = ConnectionAccount::new(limits);
//! let slow = account.open(TimeUs(0)).id;
//! account.set_state(slow, ConnectionState::receiving(TimeUs(0), Bytes(0)));
//! assert_eq!(account.grow(TimeUs(0), slow, Bytes(60_000)), Claim::Granted);
//!
//! let now = TimeUs(5_000_000);
//! let other = account.open(now).id;
//! assert_eq!(account.grow(now, other, Bytes(50_000)), Claim::GivesWay(slow));
//! account.close(slow);
//! assert_eq!(account.grow(now, other, Bytes(50_000)), Claim::Granted);
//! ```

use std::collections::BTreeMap;

use crate::units::{Bytes, SpanUs, TimeUs};

/// How long a caller may take for a request of no size, or leave a new connection without one, before
/// it is late.
const GRACE: SpanUs = SpanUs::from_ms(250);
/// The rate at which a request that is not late arrives, in bytes a second.
const USUAL_BYTES_PER_S: u64 = 1_048_576;
/// How many connections beyond the limit are kept open for as long as it takes to refuse a request.
pub const MAX_EXCESS: usize = 64;
/// What a connection may hold beside large ones that use up their part of the memory.
const SMALL_BYTES: u64 = 65_536;
/// The part of the memory that only small connections may use is one in this many.
const SMALL_RESERVE: u64 = 16;
/// The part of the memory that input behind running requests may use is one in this many.
const READ_AHEAD_SHARE: u64 = 4;

/// Identifies a connection of an account.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::FromStr,
)]
pub struct ConnectionId(pub u64);

/// The limits of the connections of a listener together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountLimits {
    /// The memory that they may hold.
    pub memory: Bytes,
    /// How many may be open.
    pub connections: usize,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It waits for the first byte of a request.
    Idle {
        /// Since when.
        since: TimeUs,
    },
    /// A request is being received.
    Receiving {
        /// When its first byte arrived.
        since: TimeUs,
        /// How much of it has arrived.
        received: Bytes,
    },
    /// A complete request runs.
    Running,
    /// The caller does not take the response to a request.
    Unread {
        /// Since when.
        since: TimeUs,
    },
    /// It was refused, and is open only until its caller has read that.
    Closing,
}

impl ConnectionState {
    /// Returns the state in which a request is received.
    #[must_use]
    pub const fn receiving(since: TimeUs, received: Bytes) -> Self {
        Self::Receiving { since, received }
    }

    /// Returns for how long the caller has been late; `None` if it is not, or its request runs.
    fn late_for(self, now: TimeUs) -> Option<SpanUs> {
        let (since, received) = match self {
            Self::Idle { since } | Self::Unread { since } => (since, Bytes(0)),
            Self::Receiving { since, received } => (since, received),
            Self::Running | Self::Closing => return None,
        };
        let usual_us = received.0.saturating_mul(1_000_000) / USUAL_BYTES_PER_S;
        let allowed_us = GRACE.0.saturating_add(usual_us);
        let late_us = now.since(since).0.saturating_sub(allowed_us);
        (late_us > 0).then_some(SpanUs(late_us))
    }

    /// Returns when a connection gives its place to a new one: that with the highest rank, and of equal ones
    /// the one that has waited longest, does first. `None` if it does not.
    fn rank(self, now: TimeUs) -> Option<(PlaceRank, SpanUs)> {
        let is_late = self.late_for(now).is_some();
        let (rank, since) = match self {
            Self::Closing => (PlaceRank::Closing, now),
            Self::Unread { since } if is_late => (PlaceRank::Late, since),
            Self::Receiving { since, .. } if is_late => (PlaceRank::Late, since),
            Self::Receiving { since, .. } => (PlaceRank::Receiving, since),
            Self::Idle { since } if is_late => (PlaceRank::LongIdle, since),
            Self::Idle { since } => (PlaceRank::Idle, since),
            Self::Running | Self::Unread { .. } => return None,
        };
        Some((rank, now.since(since)))
    }
}

/// How readily a connection gives its place to a new one, the least readily first.
///
/// One that is not late does as well: a caller that sends its request at once is served before others have
/// come, however many connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlaceRank {
    Idle,
    Receiving,
    LongIdle,
    Late,
    Closing,
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It is granted.
    Granted,
    /// It may be granted once this connection, which gives way now, has released what it holds.
    GivesWay(ConnectionId),
    /// It may be granted once connections that give way already have released what they hold.
    Pending,
    /// It is refused.
    Refused,
}

/// The outcome of opening a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// The connection.
    pub id: ConnectionId,
    /// Whether requests run on all connections that there may be, so that those of this one are refused.
    pub is_excess: bool,
    /// The connections that give way now.
    pub give_way: Vec<ConnectionId>,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    state: ConnectionState,
    is_excess: bool,
    held: Bytes,
    /// What is held of input behind a running request, a part of `held`.
    read_ahead: Bytes,
    gives_way: bool,
}

/// What the connections of a listener hold.
#[derive(Debug)]
pub struct ConnectionAccount {
    limits: AccountLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
    used: Bytes,
    read_ahead: Bytes,
    /// What connections that give way still hold.
    leaving: Bytes,
}

impl ConnectionAccount {
    /// Creates an account without connections.
    #[must_use]
    pub const fn new(limits: AccountLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next_id: 0,
            used: Bytes(0),
            read_ahead: Bytes(0),
            leaving: Bytes(0),
        }
    }

    /// Returns how much memory is in use.
    #[must_use]
    pub const fn used(&self) -> Bytes {
        self.used
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> AccountLimits {
        self.limits
    }

    /// Adds an idle connection, for which others may have to give way.
    pub fn open(&mut self, now: TimeUs) -> Opened {
        let mut give_way = Vec::new();
        let mut is_excess = false;
        while self.is_full(is_excess) {
            match self.first_to_give_way(now, Some(is_excess)) {
                Some(id) => {
                    self.give_way(id);
                    give_way.push(id);
                }
                None if is_excess => break,
                None => is_excess = true,
            }
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            state: ConnectionState::Idle { since: now },
            is_excess,
            held: Bytes(0),
            read_ahead: Bytes(0),
            gives_way: false,
        };
        self.connections.insert(id, connection);
        Opened {
            id,
            is_excess,
            give_way,
        }
    }

    /// Makes one connection give way to another, if there is one whose request does not run.
    pub fn make_room(&mut self, now: TimeUs) -> Option<ConnectionId> {
        let id = self.first_to_give_way(now, None)?;
        self.give_way(id);
        Some(id)
    }

    /// Returns whether there are as many connections as there may be, within the limit or beyond it.
    fn is_full(&self, is_excess: bool) -> bool {
        if self.connections.len() < self.limits.connections {
            return false;
        }
        let same = self.staying().filter(|(_, c)| c.is_excess == is_excess);
        let limit = if is_excess {
            MAX_EXCESS
        } else {
            self.limits.connections
        };
        same.count() >= limit
    }

    fn first_to_give_way(&self, now: TimeUs, is_excess: Option<bool>) -> Option<ConnectionId> {
        let eligible = self
            .staying()
            .filter(|(_, c)| is_excess.is_none_or(|is_excess| c.is_excess == is_excess));
        let ranked = eligible.filter_map(|(id, connection)| {
            let rank = connection.state.rank(now)?;
            Some((rank, *id))
        });
        ranked.max().map(|(_, id)| id)
    }

    /// Removes a connection and releases what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.used.0 -= connection.held.0;
            self.read_ahead.0 -= connection.read_ahead.0;
            if connection.gives_way {
                self.leaving.0 -= connection.held.0;
            }
        }
    }

    /// Sets what a connection is doing. Input behind a running request becomes the next request once that
    /// is received. A request that is complete before its connection has given way no longer does; a
    /// connection that has and is closing may have to again, for a new one.
    pub fn set_state(&mut self, id: ConnectionId, state: ConnectionState) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = state;
            let is_over = matches!(state, ConnectionState::Closing | ConnectionState::Running);
            if is_over && connection.gives_way {
                connection.gives_way = false;
                self.leaving.0 -= connection.held.0;
            }
            if state != ConnectionState::Running {
                self.read_ahead.0 -= connection.read_ahead.0;
                connection.read_ahead = Bytes(0);
            }
        }
    }

    /// Counts bytes of a request that is being received.
    pub fn record_received(&mut self, id: ConnectionId, count: Bytes) {
        let connection = self.connections.get_mut(&id);
        if let Some(ConnectionState::Receiving { received, .. }) =
            connection.map(|connection| &mut connection.state)
        {
            received.0 = received.0.saturating_add(count.0);
        }
    }

    /// Claims `more` memory for a connection.
    pub fn grow(&mut self, now: TimeUs, id: ConnectionId, more: Bytes) -> Claim {
        let Some(connection) = self.connections.get(&id) else {
            return Claim::Refused;
        };
        if connection.gives_way {
            return Claim::Refused;
        }
        let limit = self.limit_for(connection.held.0.saturating_add(more.0));
        let wanted = self.used.0.saturating_add(more.0);
        if wanted <= limit {
            self.add(id, more);
            return Claim::Granted;
        }
        if wanted.saturating_sub(self.leaving.0) <= limit {
            return Claim::Pending;
        }
        match self.latest(now) {
            Some(latest) if latest != id => {
                self.give_way(latest);
                Claim::GivesWay(latest)
            }
            Some(_) | None => Claim::Refused,
        }
    }

    /// Claims `more` memory for input behind a running request; no other connection gives way to that.
    pub fn grow_read_ahead(&mut self, id: ConnectionId, more: Bytes) -> bool {
        let limit = self.limits.memory.0;
        let is_free = self.used.0.saturating_add(more.0) <= self.limit_for(u64::MAX)
            && self.read_ahead.0.saturating_add(more.0) <= limit / READ_AHEAD_SHARE;
        let connection = self.connections.get_mut(&id);
        let Some(connection) = connection.filter(|c| is_free && !c.gives_way) else {
            return false;
        };
        connection.read_ahead.0 += more.0;
        self.read_ahead.0 += more.0;
        self.add(id, more);
        true
    }

    /// Releases memory of a connection.
    pub fn shrink(&mut self, id: ConnectionId, less: Bytes) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let less = less.0.min(connection.held.0);
        connection.held.0 -= less;
        self.used.0 -= less;
        if connection.gives_way {
            self.leaving.0 -= less;
        }
        let read_ahead = connection.read_ahead.0.min(connection.held.0);
        self.read_ahead.0 -= connection.read_ahead.0 - read_ahead;
        connection.read_ahead.0 = read_ahead;
    }

    /// Returns whether a request of `bytes` could be received now, if late ones give way.
    #[must_use]
    pub fn has_room(&self, now: TimeUs, bytes: Bytes) -> bool {
        let limit = self.limit_for(bytes.0);
        if self.used.0.saturating_add(bytes.0) <= limit {
            return true;
        }
        let late = self.staying().filter(|(_, connection)| {
            let late_for = connection.state.late_for(now);
            late_for.is_some()
        });
        let late_bytes: u64 = late.map(|(_, connection)| connection.held.0).sum();
        let staying = self.used.0 - self.leaving.0 - late_bytes;
        staying.saturating_add(bytes.0) <= limit
    }

    /// Returns the limit of all memory for a connection that holds `held` of it.
    fn limit_for(&self, held: u64) -> u64 {
        let limit = self.limits.memory.0;
        if held <= SMALL_BYTES {
            limit
        } else {
            limit - limit / SMALL_RESERVE
        }
    }

    fn add(&mut self, id: ConnectionId, more: Bytes) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held.0 += more.0;
            self.used.0 += more.0;
        }
    }

    fn staying(&self) -> impl Iterator<Item = (&ConnectionId, &Connection)> {
        let connections = self.connections.iter();
        connections.filter(|(_, connection)| !connection.gives_way)
    }

    /// Returns the connection that has held the most memory for the longest without completing its
    /// request.
    fn latest(&self, now: TimeUs) -> Option<ConnectionId> {
        let weighed = self.staying().filter_map(|(id, connection)| {
            let late_for = connection.state.late_for(now)?;
            let weight = u128::from(connection.held.0) * u128::from(late_for.0);
            (weight > 0).then_some((weight, *id))
        });
        weighed.max().map(|(_, id)| id)
    }

    fn give_way(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.gives_way = true;
            self.leaving.0 += connection.held.0;
        }
    }
}
