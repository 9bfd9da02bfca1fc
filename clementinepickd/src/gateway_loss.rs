//! Settles runs whose server has sent no complete response: finds out whether it has ended, and tells
//! peers before the caller hears of the failure.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use clementinepick::ended_servers::{EndState, ServerStart};
use clementinepick::event::{Event, EventKind};
use clementinepick::request_key::RequestKey;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::gateway_ended::SharedRun;
use crate::gateway_shared::Shared;
use crate::gateway_start::DoubtReason;
use crate::gateway_witness::BrokenRun;
use crate::outbound::Connection;
use crate::server_probe::ServerFate;

/// How long the response to a caller may wait until peers know of a silent server.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(150);

/// When the server of a run that was given up is asked again, each after the one before: it may have
/// sent something just before it fell silent, and work on the run for longer.
const LEFT_CHECK_PAUSES: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(2_250)];

/// The name in logs and metrics of the check of a run that was given up.
const CHECK_PART: &str = "left_server";

/// A run whose outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenLoss {
    /// The id of the request.
    pub(crate) request: String,
    pub(crate) key: RequestKey,
    pub(crate) server: ServerStart,
    /// The run as peers know it, if they do.
    pub(crate) shared_run: Option<SharedRun>,
}

/// Runs that were given up because their callers disconnected. Unbounded, because the receiver waits
/// for none of them.
pub(crate) type LossSender = mpsc::UnboundedSender<OpenLoss>;

impl OpenLoss {
    /// Finds out whether the server, which broke off the response, has ended, and records it; returns
    /// when peers know, if they must.
    pub(crate) async fn settle(
        &self,
        shared: &Shared,
        started_at: Instant,
        witness: Option<Connection>,
    ) {
        // The caller may disconnect during the probe, which ends this attempt.
        shared.record_suspected(self.key, &self.server);
        let health_path = shared.health_path_of(&self.server.id);
        let run = BrokenRun {
            server: &self.server,
            started_at,
            witness,
            health_path: health_path.as_deref(),
        };
        let fate = shared.find_fate_of_broken(run).await;
        if fate == ServerFate::Alive {
            shared.confirm_start(&self.server.id, Instant::now());
        }
        self.log(shared, fate);
        let state = state_of_broken(fate);
        shared.record_state(self.key, &self.server, state).await;
    }

    /// Records that the run is given up while its server may still work on it, and what is known of the
    /// server; returns when peers know, if it has ended or is silent.
    pub(crate) async fn leave(&self, shared: &Shared, fate: ServerFate) {
        match fate {
            ServerFate::Alive | ServerFate::Responding | ServerFate::Accepting => {
                shared.record_left(self.key, &self.server, EndState::Left);
            }
            ServerFate::Hanging => {
                self.log(shared, fate);
                shared.record_left(self.key, &self.server, EndState::Unheard);
            }
            ServerFate::Ended | ServerFate::Unknown => {
                shared.doubt_listed_start(&self.server.id, DoubtReason::Lost);
                self.log(shared, fate);
                let state = state_of_broken(fate);
                shared.record_state(self.key, &self.server, state).await;
            }
        }
    }

    /// Tells peers that the run is over, if they know of it.
    fn finish(&self, shared: &Shared) {
        if let Some(run) = self.shared_run {
            shared.finish_run(run);
        }
    }

    fn log(&self, shared: &Shared, fate: ServerFate) {
        shared.metrics.count_lost_response(fate.label());
        let event = Event::new(EventKind::ResponseLost)
            .with("request", &self.request)
            .with("content", self.key)
            .with("server", &self.server.id)
            .with("restarts", self.server.unlisted_restarts)
            .with("fate", fate.label())
            .with("ended_before", shared.end_count(self.key, Instant::now()));
        shared.log(&event);
    }
}

/// Returns what is known of a server that broke off a response.
fn state_of_broken(fate: ServerFate) -> EndState {
    match fate {
        ServerFate::Alive => EndState::Suspected,
        ServerFate::Responding | ServerFate::Accepting | ServerFate::Hanging => EndState::Unproven,
        ServerFate::Ended => EndState::Ended,
        ServerFate::Unknown => EndState::Silent,
    }
}

impl Shared {
    /// Ends a run whose caller has disconnected.
    pub(crate) fn abandon_run(&self, loss: OpenLoss) {
        self.record_left(loss.key, &loss.server, EndState::Left);
        loss.finish(self);
        self.check_left(loss);
    }

    /// Returns whether nothing else has become known of the server of a run that was given up.
    fn is_left(&self, loss: &OpenLoss) -> bool {
        let now = self.now_us(Instant::now());
        let known = self.ended.known.borrow();
        let ends = known.get(now, loss.key).into_iter().flat_map(|r| &r.ends);
        let mut ends = ends.filter(|end| end.server == loss.server);
        ends.any(|end| end.state == EndState::Left)
    }

    /// Finds out later whether the server of a run that was given up has ended, or hangs.
    pub(crate) fn check_left(&self, loss: OpenLoss) {
        // The receiver ends only with the process.
        let _ = self.losses.send(loss);
    }
}

/// Settles a run that ends with its deadline or the process, before its caller hears of it.
pub(crate) async fn settle_open_run(shared: &Shared, open: Option<OpenLoss>) {
    if let Some(loss) = open {
        shared.record_left(loss.key, &loss.server, EndState::Left);
        // What takes longer is found out again by the upkeep.
        let _ = timeout(SETTLE_TIMEOUT, settle_given_up(shared, &loss)).await;
        loss.finish(shared);
        shared.check_left(loss);
    }
}

/// Finds out whether the server of a run that its gateway has given up has ended.
async fn settle_given_up(shared: &Shared, loss: &OpenLoss) {
    let health_path = shared.health_path_of(&loss.server.id);
    let fate = shared.find_fate(&loss.server, health_path.as_deref()).await;
    loss.leave(shared, fate).await;
}

/// Asks the server of a run that was given up whether it has ended: now, and as long as it may work on
/// the run. One that has sent something meanwhile is not asked.
async fn check_left(shared: &Shared, loss: &OpenLoss) {
    let mut since = Instant::now();
    if shared.is_left(loss) && !shared.is_heard(&loss.server, since) {
        settle_given_up(shared, loss).await;
    }
    for pause in LEFT_CHECK_PAUSES {
        sleep(pause).await;
        let checked_at = Instant::now();
        if shared.is_left(loss) && !shared.ended.was_heard(&loss.server, since) {
            settle_given_up(shared, loss).await;
        }
        since = checked_at;
    }
}

/// Checks the runs that were given up, until the sender is dropped.
pub(crate) async fn settle_losses(
    shared: Rc<Shared>,
    queue: &mut mpsc::UnboundedReceiver<OpenLoss>,
) {
    let mut settling = JoinSet::new();
    loop {
        tokio::select! {
            loss = queue.recv() => {
                let Some(loss) = loss else {
                    break;
                };
                let shared = Rc::clone(&shared);
                settling.spawn_local(async move {
                    let check = async || check_left(&shared, &loss).await;
                    shared.tasks.retry(CHECK_PART, check).await;
                });
            }
            Some(ended) = settling.join_next() => {
                shared.tasks.joined(CHECK_PART, ended);
            }
        }
    }
    settling.shutdown().await;
}
