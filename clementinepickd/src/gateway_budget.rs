//! A turn's part of its program's budget: from what is held here, from the home of the program's
//! partition, from other peers or from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::units::Tokens;
use futures_util::future::join_all;
use tokio::sync::mpsc;

use crate::budget_messages::{
    LEND_PATH, LendRequest, RESERVE_PATH, RETURN_PATH, ReserveRequest, ReserveResponse,
    ReturnedTokens,
};
use crate::gateway_peer::{PeerCall, call_peer};
use crate::gateway_prefetch::request_prefetch;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::{LedgerError, to_cbor};
use crate::ledger_budgets::BudgetRequest;
use crate::ledger_holds::{BudgetHold, Lender, SliceGrant, TokenReturn};

/// How long a home may take to answer: it may have to append a slice, which takes some 10 ms.
const RESERVE_LIMIT: Duration = Duration::from_millis(250);
/// How long a peer may take to answer where it only looks into its memory, some ms away.
const LEND_LIMIT: Duration = Duration::from_millis(150);
/// How many peers are asked for one turn: as many as mostly hold slices of one program, and few
/// enough that an outage of the store does not load the others with questions.
const MAX_LENDERS: usize = 12;
/// How many homes are asked for one turn: one that is out of date names the next.
const MAX_HOMES: u32 = 2;
/// How many returns go out together.
const RETURN_BATCH: usize = 64;
/// The pause between two looks at the homes.
const HOMES_PAUSE: Duration = Duration::from_millis(250);

/// A turn's maximum that was set aside.
pub(crate) struct Reserved {
    pub(crate) hold: BudgetHold,
    /// Who ran the turn that this one continues from, if the home knows; that process has it in
    /// memory.
    pub(crate) previous_at: Option<SocketAddr>,
    /// The server that ran the last turn of the line or of the one that it branched off from, if the
    /// home knows.
    pub(crate) line_server: Option<String>,
}

impl Reserved {
    /// A maximum that came without a home's knowledge.
    fn alone(hold: BudgetHold) -> Self {
        Self {
            hold,
            previous_at: None,
            line_server: None,
        }
    }
}

/// Sets a turn's maximum aside; notes on the trace where it came from.
pub(crate) async fn reserve(
    shared: &Rc<Shared>,
    trace: &Trace,
    request: &BudgetRequest<'_>,
    deadline: Instant,
) -> Result<Reserved, LedgerError> {
    if shared.budgets.held_home(request.program).is_some() {
        let previous_at = record_runner(shared, request, shared.peer_address);
        let lines = request.lines.iter().map(|part| part.id.as_str());
        let line_server = line_server(shared, lines);
        let hold = reserve_hold(shared, trace, request, deadline).await?;
        request_prefetch(shared, request);
        return Ok(Reserved {
            hold,
            previous_at,
            line_server,
        });
    }
    if let Some(hold) = shared.budgets.start_held(request, Instant::now()) {
        trace.add_field("budget_from", &"held");
        return Ok(Reserved::alone(hold));
    }
    match ask_homes(shared, request).await {
        Some(Ok(reserved)) => {
            trace.add_field("budget_from", &"home");
            Ok(reserved)
        }
        Some(Err(spent)) => {
            let hold = borrow_or(shared, trace, request, spent).await?;
            Ok(Reserved::alone(hold))
        }
        None => {
            let hold = reserve_hold(shared, trace, request, deadline).await?;
            Ok(Reserved::alone(hold))
        }
    }
}

/// Notes at the home who runs a turn, and says who ran the one before it.
pub(crate) fn record_runner(
    shared: &Shared,
    request: &BudgetRequest<'_>,
    runner: SocketAddr,
) -> Option<SocketAddr> {
    let mut runners = shared.homes.runners.borrow_mut();
    if request.keeps_context {
        runners.insert(request.turn_id, runner);
    }
    request.previous_id.and_then(|id| runners.get(id)).copied()
}

/// The server of the last of these lines of which this home knows one.
///
/// Turns come to any gateway, and those whose context is not kept here leave no record of where they
/// ran: without this, each gateway would look for a line where its rank says, and the server would
/// read it again where another gateway had placed it elsewhere.
pub(crate) fn line_server<'a>(
    shared: &Shared,
    lines: impl DoubleEndedIterator<Item = &'a str>,
) -> Option<String> {
    let line_servers = shared.homes.line_servers.borrow();
    lines.rev().find_map(|line| line_servers.get(line)).cloned()
}

/// Notes at the home, or for it, where the line of a turn was placed.
pub(crate) fn record_placement(
    shared: &Shared,
    hold: &mut BudgetHold,
    program: &str,
    line: &str,
    server: &str,
) {
    if hold.is_borrowed() {
        hold.record_placement(line, server);
    } else if shared.budgets.held_home(program).is_some() {
        let mut line_servers = shared.homes.line_servers.borrow_mut();
        line_servers.insert(line, server.to_owned());
    }
}

/// Sets a turn's maximum aside from what is held, from peers while the store is away, or from the
/// store.
async fn reserve_hold(
    shared: &Rc<Shared>,
    trace: &Trace,
    request: &BudgetRequest<'_>,
    deadline: Instant,
) -> Result<BudgetHold, LedgerError> {
    if let Some(hold) = shared.budgets.start_held(request, Instant::now()) {
        trace.add_field("budget_from", &"held");
        return Ok(hold);
    }
    if shared.store.is_unavailable() {
        let peers = shared.directory().peers;
        let borrowed = borrow_budget(shared, request, peers.iter().copied()).await;
        if let Some(hold) = borrowed {
            trace.add_field("budget_from", &"peers");
            return Ok(hold);
        }
        let start = |least| shared.budgets.start_rest(request, least, Instant::now());
        if let Some(hold) = shared.budgets.mean_turn().and_then(start) {
            trace.add_field("budget_from", &"rest");
            return Ok(hold);
        }
    }
    match shared.budgets.reserve(request, deadline).await {
        Ok(hold) => {
            if let Some(grant) = hold.grant {
                log_grant(shared, request, grant);
            }
            trace.add_field("budget_from", &"store");
            Ok(hold)
        }
        Err(err) => borrow_or(shared, trace, request, err).await,
    }
}

/// Borrows from peers where the budget is given out to the end; other errors stay.
async fn borrow_or(
    shared: &Rc<Shared>,
    trace: &Trace,
    request: &BudgetRequest<'_>,
    err: LedgerError,
) -> Result<BudgetHold, LedgerError> {
    let LedgerError::Spent { holders, .. } = &err else {
        return Err(err);
    };
    // What was borrowed before lies at processes that the ledger does not name as holders.
    let others = shared.directory().peers;
    let asked = holders.iter().chain(others.iter()).copied();
    let borrowed = borrow_budget(shared, request, asked).await;
    if borrowed.is_some() {
        trace.add_field("budget_from", &"peers");
    }
    borrowed.ok_or(err)
}

pub(crate) fn log_grant(shared: &Shared, request: &BudgetRequest<'_>, grant: SliceGrant) {
    let event = Event::new(EventKind::BudgetReserved)
        .with("request", request.turn_id)
        .with("program", request.program)
        .with("tokens", grant.tokens)
        .with("reserved", grant.reserved)
        .with("budget", request.budget)
        .with("partition_end", grant.end);
    shared.log(&event);
}

/// Asks the home of the program's partition; none where it can't say.
async fn ask_homes(
    shared: &Rc<Shared>,
    request: &BudgetRequest<'_>,
) -> Option<Result<Reserved, LedgerError>> {
    let ask = ReserveRequest {
        turn_id: request.turn_id.to_owned(),
        previous_id: request.previous_id.map(str::to_owned),
        keeps_context: request.keeps_context,
        lines: request.lines.iter().map(|part| part.id.clone()).collect(),
        runner: shared.peer_address,
        program: request.program.to_owned(),
        budget: request.budget,
        turn: request.turn,
        mean_turn: shared.budgets.mean_turn(),
        retention: request.retention,
    };
    let body = to_cbor(&ask);
    for _ in 0..MAX_HOMES {
        let now = Instant::now();
        let address = shared.homes.remote_home(request.program, now)?;
        let call = PeerCall {
            path: RESERVE_PATH,
            body: body.clone(),
            limit: RESERVE_LIMIT,
        };
        let answer = call_peer::<ReserveResponse>(shared, address, call).await;
        if answer.is_none() {
            shared.homes.record_peer_timeout(address, now);
        }
        match answer {
            Some(ReserveResponse::Lent {
                writer,
                tokens,
                previous_at,
                line_server,
            }) => {
                let lender = Lender { address, writer };
                let turn = tokens.unwrap_or(request.turn);
                let lent = BudgetRequest { turn, ..*request };
                let hold = BudgetHold::new(&shared.budgets, &lent, Some(lender));
                return Some(Ok(Reserved {
                    hold,
                    previous_at,
                    line_server,
                }));
            }
            Some(ReserveResponse::Spent { reserved, holders }) => {
                return Some(Err(LedgerError::Spent { reserved, holders }));
            }
            Some(ReserveResponse::Elsewhere { home: Some(home) }) if home != address => {
                shared.homes.set_known_home(request.program, home);
            }
            Some(ReserveResponse::Away) => return None,
            Some(ReserveResponse::Elsewhere { .. }) | None => {
                shared.homes.clear_known_home(request.program);
                return None;
            }
        }
    }
    None
}

/// Asks peers for a part of a program's budget, until one turn can start.
///
/// Without this, a program whose turns come to several gateways would be refused while its budget
/// lies unused at another one, or as long as the store is away.
async fn borrow_budget(
    shared: &Rc<Shared>,
    request: &BudgetRequest<'_>,
    peers: impl IntoIterator<Item = SocketAddr>,
) -> Option<BudgetHold> {
    let ask = LendRequest {
        program: request.program.to_owned(),
        tokens: request.turn,
    };
    let body = to_cbor(&ask);
    let mut asked: Vec<SocketAddr> = Vec::new();
    for peer in peers {
        if !asked.contains(&peer) && peer != shared.peer_address {
            asked.push(peer);
        }
    }
    let asks = asked.into_iter().take(MAX_LENDERS).map(|peer| {
        let call = PeerCall {
            path: LEND_PATH,
            body: body.clone(),
            limit: LEND_LIMIT,
        };
        call_peer::<Tokens>(shared, peer, call)
    });
    let lent = join_all(asks).await;
    let sum: Tokens = lent.into_iter().flatten().sum();
    if sum == Tokens(0) {
        return None;
    }
    shared.budgets.start_borrowed(request, sum)
}

/// Sends back what turns here did not need of what homes lent, until the sender is gone.
pub(crate) async fn send_token_returns(
    shared: Rc<Shared>,
    mut returned: mpsc::Receiver<TokenReturn>,
) {
    let mut batch = Vec::with_capacity(RETURN_BATCH);
    while returned.recv_many(&mut batch, RETURN_BATCH).await > 0 {
        let mut by_lender: BTreeMap<SocketAddr, Vec<ReturnedTokens>> = BTreeMap::new();
        for back in batch.drain(..) {
            let to = by_lender.entry(back.lender.address).or_default();
            to.push(ReturnedTokens {
                writer: back.lender.writer,
                program: back.program,
                tokens: back.tokens,
                placed: back.placed,
            });
        }
        let calls = by_lender.into_iter().map(|(address, returned)| {
            let call = PeerCall {
                path: RETURN_PATH,
                body: to_cbor(&returned),
                limit: LEND_LIMIT,
            };
            call_peer::<()>(&shared, address, call)
        });
        // Tokens whose return fails are lost to their program: a repeat might count them twice.
        join_all(calls).await;
    }
}

/// Keeps this process the home of its share of the partitions, until it is dropped.
pub(crate) async fn maintain_homes(shared: Rc<Shared>) {
    loop {
        sleep(HOMES_PAUSE).await;
        let directory = shared.directory();
        if let Some(config) = &directory.config {
            let retention = config.longest_retention_us();
            let processes = &directory.processes;
            let now = Instant::now();
            let lost_before = shared.homes.lost();
            shared.homes.step(processes, retention, now).await;
            log_lost(&shared, &lost_before);
        }
    }
}

/// Logs which peers are lost since `before`, and which are no more.
fn log_lost(shared: &Shared, before: &BTreeSet<SocketAddr>) {
    let lost = shared.homes.lost();
    for address in lost.difference(before) {
        shared.log(&Event::new(EventKind::PeerLost).with("address", address));
    }
    for address in before.difference(&lost) {
        shared.log(&Event::new(EventKind::PeerBack).with("address", address));
    }
}
