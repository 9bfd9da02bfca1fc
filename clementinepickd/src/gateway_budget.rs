//! Reserves a turn's maximum from its program's budget: from slices held here, from the home of the
//! program's partition, from other peers or from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use clementinepick::event::{Event, EventKind};
use clementinepick::units::{SpanUs, Tokens};
use futures_util::future::join_all;
use tokio::sync::mpsc;

use crate::budget_messages::{
    LEND_PATH, LendRequest, LendResponse, RESERVE_PATH, RETURN_PATH, ReserveRequest,
    ReserveResponse, ReturnedTokens,
};
use crate::gateway_budget_peer::HOME_STORE_TIMEOUT;
use crate::gateway_peer::{PeerCall, PeerFailure, call_peer, try_call_peer};
use crate::gateway_prefetch::request_prefetch;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;
use crate::ledger::{LedgerError, to_cbor};
use crate::ledger_budgets::BudgetRequest;
use crate::ledger_holds::{BudgetHold, Lender, SliceGrant, TokenReturn};
use crate::link::{duration, to_span};

/// How long the response of a home may take beyond the time in which it may append a slice to the
/// store.
const RESPONSE_TIME: Duration = Duration::from_millis(50);
/// The calls whose timeouts a home may take for a slice. They suffice for the usual time of three, after
/// another process has written to its partition.
const SLICE_CALLS: u32 = 2;
/// How long a peer may take to respond to a request that it serves from memory.
const LEND_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum number of peers asked to lend for one turn: enough to reach most holders of a
/// program's slices, and few enough not to overload the peers during a store outage.
const MAX_LENDERS: usize = 12;
/// The maximum number of homes asked for one turn; an outdated home names the next one.
const MAX_HOMES: u32 = 2;
/// The maximum number of token returns sent in one batch.
const RETURN_BATCH_SIZE: usize = 64;
/// The interval between two updates of this process's homes.
const HOMES_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// A turn's reserved maximum, with what the home knows of the turn.
pub(crate) struct Reserved {
    pub(crate) hold: BudgetHold,
    /// The server that ran the last turn of this turn chain or of the one it branched off from, if
    /// the home knows it.
    pub(crate) chain_server: Option<String>,
}

impl Reserved {
    /// Wraps a reservation that was made without a home.
    fn without_home(hold: BudgetHold) -> Self {
        Self {
            hold,
            chain_server: None,
        }
    }
}

/// The peers lent too little for a turn.
struct NotBorrowed {
    /// Those that may have more, but did not respond.
    silent: Vec<SocketAddr>,
}

/// Reserves a turn's maximum and adds its origin to the trace.
///
/// `runner_found` is told which gateway ran the previous turn and has it in memory, if the home knows
/// it, before a slice is reserved in the store; if the budget seems to be fully reserved, only once the
/// turn may run.
pub(crate) async fn reserve(
    shared: &Rc<Shared>,
    trace: &Trace,
    request: &BudgetRequest<'_>,
    runner_found: impl FnOnce(Option<SocketAddr>),
    deadline: Instant,
) -> Result<Reserved, LedgerError> {
    if shared.budgets.held_home(request.program).is_some() {
        let previous_at = record_runner(shared, request, shared.peer_address);
        let turn_chains = request.turn_chains.iter().map(|part| part.id.as_str());
        let chain_server = chain_server(shared, turn_chains);
        let hold = if shared.budgets.may_have_left(request) {
            runner_found(previous_at);
            reserve_hold(shared, trace, request, deadline).await?
        } else {
            let hold = reserve_hold(shared, trace, request, deadline).await?;
            runner_found(previous_at);
            hold
        };
        request_prefetch(shared, request);
        return Ok(Reserved { hold, chain_server });
    }
    if let Some(hold) = shared.budgets.start_held(request, Instant::now()) {
        trace.add_field("budget_from", &"held");
        return Ok(Reserved::without_home(hold));
    }
    match reserve_from_home(shared, request).await {
        Some(Ok((reserved, previous_at))) => {
            trace.add_field("budget_from", &"home");
            runner_found(previous_at);
            Ok(reserved)
        }
        Some(Err(exhausted)) => {
            let hold = borrow_if_exhausted(shared, trace, request, exhausted).await?;
            Ok(Reserved::without_home(hold))
        }
        None => {
            if shared.budgets.may_have_left(request) {
                runner_found(None);
            }
            let hold = reserve_hold(shared, trace, request, deadline).await?;
            Ok(Reserved::without_home(hold))
        }
    }
}

/// Records at the home which gateway runs a turn, and returns the one that ran the previous turn.
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

/// Returns the server of the last of these turn chains for which this home knows one.
///
/// Any gateway may receive a turn. Without this, each gateway would place a turn chain by its own
/// ranking, and a server that does not have the chain's context would read the prompt again.
pub(crate) fn chain_server<'a>(
    shared: &Shared,
    turn_chains: impl DoubleEndedIterator<Item = &'a str>,
) -> Option<String> {
    let chain_servers = shared.homes.chain_servers.borrow();
    turn_chains
        .rev()
        .find_map(|turn_chain| chain_servers.get(turn_chain))
        .cloned()
}

/// Records at the home, or in the hold for a remote home, which server a turn chain was placed on.
pub(crate) fn record_placement(
    shared: &Shared,
    hold: &mut BudgetHold,
    program: &str,
    turn_chain: &str,
    server: &str,
) {
    if hold.is_borrowed() {
        hold.record_placement(turn_chain, server);
    } else if shared.budgets.held_home(program).is_some() {
        let mut chain_servers = shared.homes.chain_servers.borrow_mut();
        chain_servers.insert(turn_chain, server.to_owned());
    }
}

/// Reserves a turn's maximum from slices held here, from peers while the store is unavailable or slow,
/// or from the store.
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
    let is_unavailable = shared.store.is_unavailable();
    let peers = shared.directory().peers;
    // Of more peers, few would hold a part of the budget, and the store responds.
    let can_ask_all = peers.len() <= MAX_LENDERS;
    if is_unavailable || can_ask_all && shared.store.is_slow() {
        let borrowed = borrow_budget(shared, request, peers.iter().copied()).await;
        if let Ok(hold) = borrowed {
            trace.add_field("budget_from", &"peers");
            return Ok(hold);
        }
    }
    if is_unavailable {
        let start = |least| {
            shared
                .budgets
                .start_with_remaining(request, least, Instant::now())
        };
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
        Err(err) => borrow_if_exhausted(shared, trace, request, err).await,
    }
}

/// Borrows from peers if the budget is fully reserved; returns all other errors.
async fn borrow_if_exhausted(
    shared: &Rc<Shared>,
    trace: &Trace,
    request: &BudgetRequest<'_>,
    err: LedgerError,
) -> Result<BudgetHold, LedgerError> {
    let LedgerError::Exhausted { holders, .. } = &err else {
        return Err(err);
    };
    // Borrowed tokens are held by processes that the ledger does not name as holders.
    let others = shared.directory().peers;
    let lenders = holders.iter().chain(others.iter()).copied();
    match borrow_budget(shared, request, lenders).await {
        Ok(hold) => {
            trace.add_field("budget_from", &"peers");
            Ok(hold)
        }
        Err(NotBorrowed { silent }) => Err(match silent.first() {
            Some(peer) => {
                trace.add_field("silent_holder", peer);
                LedgerError::HolderSilent
            }
            None => err,
        }),
    }
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

/// Reserves a turn's maximum at the home of the program's partition, and returns with it which gateway
/// ran the previous turn, if the home knows it; `None` if no home can decide.
async fn reserve_from_home(
    shared: &Rc<Shared>,
    request: &BudgetRequest<'_>,
) -> Option<Result<(Reserved, Option<SocketAddr>), LedgerError>> {
    let patience = shared.store.time_for(SLICE_CALLS).max(HOME_STORE_TIMEOUT);
    let reserve_request = ReserveRequest {
        turn_id: request.turn_id.to_owned(),
        previous_id: request.previous_id.map(str::to_owned),
        keeps_context: request.keeps_context,
        turn_chains: request
            .turn_chains
            .iter()
            .map(|part| part.id.clone())
            .collect(),
        runner: shared.peer_address,
        program: request.program.to_owned(),
        budget: request.budget,
        turn: request.turn,
        mean_turn: shared.budgets.mean_turn(),
        retention: request.retention,
        patience: Some(to_span(patience)),
    };
    let body = to_cbor(&reserve_request);
    for _ in 0..MAX_HOMES {
        let now = Instant::now();
        let address = shared.homes.remote_home(request.program, now)?;
        let call = PeerCall {
            path: RESERVE_PATH,
            body: body.clone(),
            limit: patience + RESPONSE_TIME,
        };
        let response = call_peer::<ReserveResponse>(shared, address, call).await;
        if response.is_none() {
            shared.homes.record_peer_timeout(address, now);
        }
        match response {
            Some(ReserveResponse::Lent {
                writer,
                tokens,
                previous_at,
                chain_server,
            }) => {
                let lender = Lender { address, writer };
                let turn = tokens.unwrap_or(request.turn);
                let lent = BudgetRequest { turn, ..*request };
                let hold = BudgetHold::new(&shared.budgets, &lent, Some(lender));
                return Some(Ok((Reserved { hold, chain_server }, previous_at)));
            }
            Some(ReserveResponse::Spent { reserved, holders }) => {
                return Some(Err(LedgerError::Exhausted { reserved, holders }));
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

/// Borrows parts of a program's budget from peers until one turn can start.
///
/// Without this, a program whose turns arrive at several gateways would be refused while another
/// gateway holds unused tokens of its budget, or for the whole of a store outage.
async fn borrow_budget(
    shared: &Rc<Shared>,
    request: &BudgetRequest<'_>,
    peers: impl IntoIterator<Item = SocketAddr>,
) -> Result<BudgetHold, NotBorrowed> {
    let lend_request = LendRequest {
        program: request.program.to_owned(),
        tokens: request.turn,
        budget: Some(request.budget),
        retention: Some(request.retention),
        takes_loan: true,
    };
    let body = to_cbor(&lend_request);
    let mut lenders: Vec<SocketAddr> = Vec::new();
    for peer in peers {
        if !lenders.contains(&peer) && peer != shared.peer_address {
            lenders.push(peer);
        }
    }
    lenders.truncate(MAX_LENDERS);
    let lend_calls = lenders.iter().map(|peer| {
        let call = PeerCall {
            path: LEND_PATH,
            body: body.clone(),
            limit: LEND_TIMEOUT,
        };
        try_call_peer::<LendResponse>(shared, *peer, call)
    });
    let lent = join_all(lend_calls).await;
    let loans = lent.iter().flatten().map(|response| response.loan());
    let loans = loans.filter(|loan| loan.tokens > Tokens(0));
    let kept_us = loans.clone().map(|loan| loan.kept_us).min();
    let total = loans.map(|loan| loan.tokens).sum();
    let hold = kept_us.and_then(|kept_us| {
        let budgets = &shared.budgets;
        budgets.start_borrowed(request, total, duration(kept_us))
    });
    hold.ok_or_else(|| {
        let failed = lenders.into_iter().zip(lent);
        let silent = failed.filter(|(_, lent)| *lent == Err(PeerFailure::Silent));
        let silent = silent.map(|(peer, _)| peer);
        NotBorrowed {
            silent: silent.filter(|peer| is_registered(shared, *peer)).collect(),
        }
    })
}

/// Returns whether a peer may still run; the tokens of one whose entry has expired are lost.
fn is_registered(shared: &Shared, peer: SocketAddr) -> bool {
    let processes = shared.directory().processes;
    processes.is_empty() || processes.iter().any(|process| process.address == peer)
}

/// Returns unused tokens to the homes that lent them, until the sender is dropped.
pub(crate) async fn send_token_returns(
    shared: Rc<Shared>,
    returned: &mut mpsc::Receiver<TokenReturn>,
) {
    let mut batch = Vec::with_capacity(RETURN_BATCH_SIZE);
    while returned.recv_many(&mut batch, RETURN_BATCH_SIZE).await > 0 {
        let mut by_lender: BTreeMap<SocketAddr, Vec<ReturnedTokens>> = BTreeMap::new();
        for unused in batch.drain(..) {
            let lender_returns = by_lender.entry(unused.lender.address).or_default();
            lender_returns.push(ReturnedTokens {
                writer: unused.lender.writer,
                program: unused.program,
                tokens: unused.tokens,
                placed: unused.placed,
            });
        }
        let calls = by_lender.into_iter().map(|(address, returned)| {
            let call = PeerCall {
                path: RETURN_PATH,
                body: to_cbor(&returned),
                limit: LEND_TIMEOUT,
            };
            call_peer::<()>(&shared, address, call)
        });
        // A failed return is not repeated: a repeat might count its tokens twice. The program loses
        // them.
        join_all(calls).await;
    }
}

/// Keeps this process the home of its share of the partitions.
pub(crate) async fn maintain_homes(shared: Rc<Shared>) {
    // Programs whose route was removed keep the retention that they began with.
    let mut longest_retention = SpanUs(0);
    loop {
        sleep(HOMES_UPDATE_INTERVAL).await;
        let directory = shared.directory();
        if let Some(config) = &directory.config {
            longest_retention = longest_retention.max(config.longest_retention_us());
            let processes = &directory.processes;
            let now = Instant::now();
            let lost_before = shared.homes.lost();
            shared.homes.step(processes, longest_retention, now).await;
            log_lost(&shared, &lost_before);
        }
    }
}

/// Logs which peers were lost since `before`, and which of those in it are reachable again.
fn log_lost(shared: &Shared, before: &BTreeSet<SocketAddr>) {
    let lost = shared.homes.lost();
    for address in lost.difference(before) {
        shared.log(&Event::new(EventKind::PeerLost).with("address", address));
    }
    for address in before.difference(&lost) {
        shared.log(&Event::new(EventKind::PeerBack).with("address", address));
    }
}
