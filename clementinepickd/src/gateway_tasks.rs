//! Starts the background tasks of a gateway and the loops that accept its connections.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::connections::Connections;
use crate::gateway_budget::{maintain_homes, send_token_returns};
use crate::gateway_connection::Handler;
use crate::gateway_directory_copy::maintain_directory;
use crate::gateway_ended_upkeep::maintain_ended;
use crate::gateway_endpoint::Endpoint;
use crate::gateway_hanging::check_unheard;
use crate::gateway_loss::settle_losses;
use crate::gateway_maintenance::run_maintenance;
use crate::gateway_metrics::MetricsHandler;
use crate::gateway_origin_log::{load_recorded_origins, write_origins};
use crate::gateway_other_runs::watch_stall;
use crate::gateway_peer::PeerHandler;
use crate::gateway_peer_updates::send_updates;
use crate::gateway_peer_watch::watch_peers;
use crate::gateway_prefetch::{finish_turn_reads, run_prefetch};
use crate::gateway_request::{CallerHandler, ReadyHandler};
use crate::gateway_request_log::write_requests;
use crate::gateway_shared::{BackgroundQueues, Shared};
use crate::gateway_start_questions::ask_starts;
use crate::gateway_versions::maintain_versions;

/// The name of the task without which no caller can connect.
pub(crate) const ACCEPT_CALLERS_TASK: &str = "accept_callers";

/// The bound listeners of a gateway.
pub(crate) struct Listeners {
    pub(crate) callers: StdListener,
    pub(crate) ready: StdListener,
    pub(crate) peers: StdListener,
    pub(crate) metrics: Option<StdListener>,
}

/// The running tasks of a gateway; dropped, they are aborted.
pub(crate) struct GatewayTasks {
    shared: Rc<Shared>,
    tasks: JoinSet<()>,
}

impl GatewayTasks {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            tasks: JoinSet::new(),
        }
    }

    /// Starts to accept connections; `metrics_address` is that of metrics, if enabled.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop can't take a listener.
    pub(crate) fn spawn_endpoints(
        &mut self,
        listeners: Listeners,
        metrics_address: Option<SocketAddr>,
    ) -> io::Result<()> {
        let callers = TcpListener::from_std(listeners.callers)?;
        let ready = TcpListener::from_std(listeners.ready)?;
        let peers = TcpListener::from_std(listeners.peers)?;
        let shared = Rc::clone(&self.shared);
        let connections = &shared.connections;
        if let Some(address) = metrics_address {
            self.spawn_metrics(listeners.metrics, address);
        }
        let handler = Rc::new(CallerHandler {
            shared: Rc::clone(&shared),
        });
        self.spawn_endpoint(ACCEPT_CALLERS_TASK, handler, &connections.callers, callers);
        let handler = Rc::new(ReadyHandler {
            shared: Rc::clone(&shared),
        });
        self.spawn_endpoint("accept_ready", handler, &connections.ready, ready);
        let handler = Rc::new(PeerHandler {
            shared: Rc::clone(&shared),
        });
        self.spawn_endpoint("accept_peers", handler, &connections.peers, peers);
        Ok(())
    }

    fn spawn_endpoint(
        &mut self,
        name: &'static str,
        handler: Rc<dyn Handler>,
        connections: &Rc<Connections>,
        listener: TcpListener,
    ) {
        let mut endpoint = Endpoint::new(&self.shared, handler, connections, Some(listener));
        self.spawn_to_end(name, async move |_| endpoint.accept().await);
    }

    /// Starts to serve metrics at `address`, which is bound later if `bound` is absent or can't be used.
    fn spawn_metrics(&mut self, bound: Option<StdListener>, address: SocketAddr) {
        let listener = bound.and_then(|bound| {
            let listener = TcpListener::from_std(bound);
            listener
                .inspect_err(|err| self.shared.log_connection_error(err))
                .ok()
        });
        let handler = Rc::new(MetricsHandler {
            shared: Rc::clone(&self.shared),
        });
        let connections = &self.shared.connections.metrics;
        let mut endpoint = Endpoint::new(&self.shared, handler, connections, listener);
        self.spawn_to_end("accept_metrics", async move |_| {
            endpoint.bind_and_accept(address).await;
        });
    }

    /// Starts the background tasks.
    pub(crate) fn spawn_upkeep(&mut self, mut queues: BackgroundQueues, vm: String) {
        self.spawn("maintenance", async move |shared| {
            run_maintenance(shared, vm.clone()).await;
        });
        self.spawn("homes", maintain_homes);
        self.spawn("prefetch", async move |shared| {
            run_prefetch(shared, &mut queues.prefetch).await;
        });
        self.spawn("turn_reads", async move |shared| {
            finish_turn_reads(shared, &mut queues.unfinished_reads).await;
        });
        self.spawn("token_returns", async move |shared| {
            send_token_returns(shared, &mut queues.returned).await;
        });
        self.spawn("peer_updates", async move |shared| {
            send_updates(shared, &mut queues.updates).await;
        });
        self.spawn("directory_copy", maintain_directory);
        self.spawn("ended_servers", maintain_ended);
        self.spawn("unheard_servers", check_unheard);
        self.spawn("stall", watch_stall);
        self.spawn("versions", maintain_versions);
        self.spawn("peer_watch", watch_peers);
        self.spawn("request_log", write_requests);
        self.spawn("origin_log", write_origins);
        self.spawn_to_end("recorded_origins", load_recorded_origins);
        self.spawn("losses", async move |shared| {
            settle_losses(shared, &mut queues.losses).await;
        });
        self.spawn("start_questions", async move |shared| {
            ask_starts(shared, &mut queues.start_questions).await;
        });
    }

    /// Starts a task that never returns.
    fn spawn(&mut self, name: &'static str, mut work: impl AsyncFnMut(Rc<Shared>) + 'static) {
        let shared = Rc::clone(&self.shared);
        self.tasks.spawn_local(async move {
            let work = async || work(Rc::clone(&shared)).await;
            shared.tasks.keep_running(name, work).await;
        });
    }

    /// Starts a task that returns when it is done.
    fn spawn_to_end(
        &mut self,
        name: &'static str,
        mut work: impl AsyncFnMut(Rc<Shared>) + 'static,
    ) {
        let shared = Rc::clone(&self.shared);
        self.tasks.spawn_local(async move {
            let work = async || work(Rc::clone(&shared)).await;
            shared.tasks.run_to_end(name, work).await;
        });
    }

    /// Reports tasks that end in spite of their supervision, until dropped.
    pub(crate) async fn watch(&mut self) {
        while let Some(ended) = self.tasks.join_next().await {
            self.shared.tasks.joined("supervision", ended);
        }
        std::future::pending::<()>().await;
    }

    /// Aborts all tasks and waits for them to end.
    pub(crate) async fn shut_down(mut self) {
        self.tasks.shutdown().await;
    }
}
