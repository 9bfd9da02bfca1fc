//! Tests which connections give way at a limit, and that what they hold stays within it.

use std::collections::BTreeMap;

use clementinepick::connection_account::{
    AccountLimits, Claim, ConnectionAccount, ConnectionId, ConnectionState,
};
use clementinepick::units::{Bytes, TimeUs};
use proptest::prelude::*;

const LIMITS: AccountLimits = AccountLimits {
    memory: Bytes(16_000_000),
    connections: 100,
};
const SECOND: u64 = 1_000_000;

fn open(account: &mut ConnectionAccount, now: TimeUs) -> ConnectionId {
    let opened = account.open(now);
    assert!(!opened.is_excess);
    opened.id
}

/// Opens a connection that has received some bytes of a request since `since` and holds them.
fn receive(account: &mut ConnectionAccount, since: TimeUs, bytes: Bytes) -> ConnectionId {
    let id = open(account, since);
    account.set_state(id, ConnectionState::receiving(since, bytes));
    assert_eq!(account.grow(since, id, bytes), Claim::Granted);
    id
}

/// Guards against a limit that unfinished requests hold, so that nobody else is served.
#[test]
fn the_request_that_held_the_most_for_the_longest_gives_way() {
    let mut account = ConnectionAccount::new(LIMITS);
    let small = receive(&mut account, TimeUs(0), Bytes(60_000));
    let large = receive(&mut account, TimeUs(0), Bytes(900_000));
    let late = receive(&mut account, TimeUs(0), Bytes(14_000_000));
    account.set_state(late, ConnectionState::Running);
    let now = TimeUs(10 * SECOND);
    let other = open(&mut account, now);
    assert_eq!(
        account.grow(now, other, Bytes(500_000)),
        Claim::GivesWay(large)
    );
    assert_eq!(account.grow(now, other, Bytes(500_000)), Claim::Pending);
    account.close(large);
    assert_eq!(account.grow(now, other, Bytes(500_000)), Claim::Granted);
    assert_eq!(
        account.grow(now, other, Bytes(500_000)),
        Claim::GivesWay(small)
    );
}

/// Guards against giving up sound uploads that are nearly complete for ones that have just begun.
#[test]
fn requests_that_arrive_at_a_usual_rate_do_not_give_way() {
    let mut account = ConnectionAccount::new(LIMITS);
    let bytes = Bytes(1_000_000);
    for _ in 0..15 {
        receive(&mut account, TimeUs(0), bytes);
    }
    let now = TimeUs(SECOND);
    let other = open(&mut account, now);
    assert_eq!(account.grow(now, other, bytes), Claim::Refused);
    assert!(!account.has_room(now, bytes));
    assert!(account.has_room(TimeUs(2 * SECOND), bytes));
}

/// Guards against a caller that keeps its memory by sending a byte now and then.
#[test]
fn a_trickle_counts_as_late() {
    let mut account = ConnectionAccount::new(LIMITS);
    let trickle = receive(&mut account, TimeUs(0), Bytes(900_000));
    let _running = {
        let id = receive(&mut account, TimeUs(0), Bytes(14_000_000));
        account.set_state(id, ConnectionState::Running);
        id
    };
    for _ in 0..100 {
        account.record_received(trickle, Bytes(1));
    }
    let now = TimeUs(10 * SECOND);
    let other = open(&mut account, now);
    assert_eq!(
        account.grow(now, other, Bytes(900_000)),
        Claim::GivesWay(trickle)
    );
}

/// Guards against running requests that lose their memory or their connection.
#[test]
fn running_requests_do_not_give_way() {
    let limits = AccountLimits {
        memory: Bytes(1_000_000),
        connections: 2,
    };
    let mut account = ConnectionAccount::new(limits);
    for _ in 0..2 {
        let id = receive(&mut account, TimeUs(0), Bytes(460_000));
        account.set_state(id, ConnectionState::Running);
    }
    let now = TimeUs(60 * SECOND);
    assert_eq!(account.make_room(now), None);
    let opened = account.open(now);
    assert!(opened.is_excess && opened.give_way.is_empty());
    assert!(!account.has_room(now, Bytes(100_000)));
}

/// Guards against connections beyond the limit that are closed without an answer, or stay open.
#[test]
fn connections_beyond_the_limit_are_kept_to_be_refused() {
    let limits = AccountLimits {
        connections: 2,
        ..LIMITS
    };
    let mut account = ConnectionAccount::new(limits);
    for _ in 0..2 {
        let id = open(&mut account, TimeUs(0));
        account.set_state(id, ConnectionState::Running);
    }
    let now = TimeUs(SECOND);
    let excess: Vec<_> = (0..64).map(|_| account.open(now)).collect();
    assert!(excess.iter().all(|o| o.is_excess && o.give_way.is_empty()));
    let next = account.open(TimeUs(2 * SECOND));
    assert!(next.is_excess);
    assert_eq!(next.give_way.len(), 1);
}

/// Guards against callers that keep their connections and memory by not reading their responses.
#[test]
fn a_response_that_its_caller_does_not_take_gives_way() {
    let limits = AccountLimits {
        connections: 1,
        ..LIMITS
    };
    let mut account = ConnectionAccount::new(limits);
    let id = open(&mut account, TimeUs(0));
    account.set_state(id, ConnectionState::Unread { since: TimeUs(0) });
    assert_eq!(account.make_room(TimeUs(1_000)), None);
    assert_eq!(account.open(TimeUs(SECOND)).give_way, [id]);
}

/// Guards against large requests that leave no room for those of usual size.
#[test]
fn small_requests_fit_beside_large_ones() {
    let mut account = ConnectionAccount::new(LIMITS);
    for _ in 0..15 {
        let id = receive(&mut account, TimeUs(0), Bytes(1_000_000));
        account.set_state(id, ConnectionState::Running);
    }
    let now = TimeUs(SECOND);
    let large = open(&mut account, now);
    assert_eq!(account.grow(now, large, Bytes(1_000_000)), Claim::Refused);
    let small = open(&mut account, now);
    assert_eq!(account.grow(now, small, Bytes(20_000)), Claim::Granted);
}

/// Guards against input behind running requests that takes the memory of all.
#[test]
fn input_behind_requests_has_a_part_of_the_memory() {
    let mut account = ConnectionAccount::new(LIMITS);
    let ids: Vec<_> = (0..100)
        .map(|_| {
            let id = open(&mut account, TimeUs(0));
            account.set_state(id, ConnectionState::Running);
            id
        })
        .collect();
    let granted = ids
        .iter()
        .filter(|id| account.grow_read_ahead(**id, Bytes(65_536)));
    assert_eq!(granted.count(), 61);
    assert!(account.used() <= Bytes(LIMITS.memory.0 / 4));
    // What was read ahead is a request of its own once it is its turn.
    account.set_state(ids[0], ConnectionState::receiving(TimeUs(0), Bytes(65_536)));
    assert!(account.grow_read_ahead(ids[70], Bytes(65_536)));
}

/// Guards against idle connections, or half heads, that keep new callers out.
#[test]
fn late_connections_give_way_to_new_ones() {
    let limits = AccountLimits {
        connections: 3,
        ..LIMITS
    };
    let mut account = ConnectionAccount::new(limits);
    let idle = open(&mut account, TimeUs(0));
    let half = receive(&mut account, TimeUs(SECOND), Bytes(200));
    let closing = open(&mut account, TimeUs(0));
    account.set_state(closing, ConnectionState::Closing);
    let now = TimeUs(2 * SECOND);
    for expected in [closing, half, idle] {
        assert_eq!(account.open(now).give_way, [expected]);
    }
    assert_eq!(account.open_count(), 6);
    account.close(half);
    account.close(idle);
    assert_eq!(account.open_count(), 4);
}

/// Guards against a burst of connections that keeps a caller out which sends its request at once.
#[test]
fn a_burst_gives_way_to_later_connections() {
    let limits = AccountLimits {
        connections: 2,
        ..LIMITS
    };
    let mut account = ConnectionAccount::new(limits);
    let idle = open(&mut account, TimeUs(1));
    let receiving = receive(&mut account, TimeUs(2), Bytes(200));
    let now = TimeUs(3);
    let opened = account.open(now);
    assert_eq!(opened.give_way, [receiving]);
    account.set_state(opened.id, ConnectionState::Running);
    assert_eq!(account.open(now).give_way, [idle]);
}

/// Guards against a refused connection that stays open beside those that replace it.
#[test]
fn a_connection_that_gave_way_and_is_closing_gives_way_again() {
    let limits = AccountLimits {
        connections: 2,
        ..LIMITS
    };
    let mut account = ConnectionAccount::new(limits);
    let now = TimeUs(10 * SECOND);
    let half = receive(&mut account, TimeUs(0), Bytes(200));
    open(&mut account, now);
    assert_eq!(account.open(now).give_way, [half]);
    account.set_state(half, ConnectionState::Closing);
    assert_eq!(account.make_room(now), Some(half));
}

/// Guards against claims that wait for a request that was complete before its connection gave way.
#[test]
fn a_request_that_is_complete_in_time_is_not_waited_for() {
    let mut account = ConnectionAccount::new(LIMITS);
    let first = receive(&mut account, TimeUs(0), Bytes(8_000_000));
    let second = receive(&mut account, TimeUs(0), Bytes(7_000_000));
    let now = TimeUs(60 * SECOND);
    let other = open(&mut account, now);
    let more = Bytes(1_000_000);
    assert_eq!(account.grow(now, other, more), Claim::GivesWay(first));
    account.set_state(first, ConnectionState::Running);
    assert_eq!(account.grow(now, other, more), Claim::GivesWay(second));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Close,
    Grow(u64),
    GrowAhead(u64),
    Shrink(u64),
    Receive(u64),
    Run,
    Idle,
    Unread,
    Closing,
}

fn steps() -> impl Strategy<Value = Vec<(Step, usize, u64)>> {
    let step = prop_oneof![
        Just(Step::Open),
        Just(Step::Close),
        (1_u64..60_000).prop_map(Step::Grow),
        (1_u64..20_000).prop_map(Step::GrowAhead),
        (1_u64..60_000).prop_map(Step::Shrink),
        (0_u64..60_000).prop_map(Step::Receive),
        Just(Step::Run),
        Just(Step::Idle),
        Just(Step::Unread),
        Just(Step::Closing),
    ];
    prop::collection::vec((step, 0_usize..12, 0_u64..SECOND), 1..300)
}

proptest! {
    /// What is in use is what the connections hold, it never exceeds the limit, and only connections
    /// without a complete request give way.
    #[test]
    fn the_limits_hold_in_any_order(steps in steps()) {
        let limits = AccountLimits { memory: Bytes(200_000), connections: 8 };
        let mut account = ConnectionAccount::new(limits);
        let mut held: BTreeMap<ConnectionId, (u64, bool)> = BTreeMap::new();
        let mut now = TimeUs(0);
        for (step, chosen, span_us) in steps {
            now = TimeUs(now.0 + span_us);
            if let Step::Open = step {
                let opened = account.open(now);
                for id in opened.give_way {
                    prop_assert!(!held[&id].1, "a running request gave way");
                }
                held.insert(opened.id, (0, false));
                continue;
            }
            let Some(id) = held.keys().nth(chosen).copied() else { continue };
            let (bytes, is_running) = held[&id];
            match step {
                Step::Open => {}
                Step::Close => {
                    account.close(id);
                    held.remove(&id);
                }
                Step::Grow(more) => match account.grow(now, id, Bytes(more)) {
                    Claim::Granted => {
                        held.insert(id, (bytes + more, is_running));
                    }
                    Claim::GivesWay(other) => prop_assert!(!held[&other].1 && other != id),
                    Claim::Pending | Claim::Refused => {}
                },
                Step::GrowAhead(more) => {
                    if account.grow_read_ahead(id, Bytes(more)) {
                        held.insert(id, (bytes + more, is_running));
                    }
                }
                Step::Shrink(less) => {
                    account.shrink(id, Bytes(less));
                    held.insert(id, (bytes.saturating_sub(less), is_running));
                }
                Step::Receive(received) => {
                    account.set_state(id, ConnectionState::receiving(now, Bytes(received)));
                    held.insert(id, (bytes, false));
                }
                Step::Run => {
                    account.set_state(id, ConnectionState::Running);
                    held.insert(id, (bytes, true));
                }
                Step::Idle => {
                    account.set_state(id, ConnectionState::Idle { since: now });
                    held.insert(id, (bytes, false));
                }
                Step::Unread => {
                    account.set_state(id, ConnectionState::Unread { since: now });
                    held.insert(id, (bytes, false));
                }
                Step::Closing => {
                    account.set_state(id, ConnectionState::Closing);
                    held.insert(id, (bytes, false));
                }
            }
            let total: u64 = held.values().map(|(bytes, _)| bytes).sum();
            prop_assert_eq!(account.used(), Bytes(total));
            prop_assert!(account.used() <= limits.memory);
            prop_assert_eq!(account.open_count(), held.len());
        }
    }
}
