//! Accepts the connections of a listener. The listener and its connections outlast a panic of the loop.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::connections::Connections;
use crate::gateway_connection::{Handler, serve};
use crate::gateway_shared::Shared;
use crate::input_first::poll_after_input;
use crate::listeners;

/// The backoff after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(20);
/// The interval at which an address that could not be bound is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of connections that are accepted as the listener closes, as many as the system
/// holds for it.
const MAX_WAITING_CONNECTIONS: usize = 4_096;
/// The name in logs and metrics of the tasks that serve connections.
const CONNECTION_TASK: &str = "connection";

/// A listener and what its connections need.
pub(crate) struct Endpoint {
    shared: Rc<Shared>,
    handler: Rc<dyn Handler>,
    connections: Rc<Connections>,
    /// Absent until it is bound, and once it is closed.
    listener: Option<TcpListener>,
    /// The tasks that serve connections.
    tasks: JoinSet<()>,
}

impl Endpoint {
    /// Creates an endpoint; without a listener, [`Self::bind_and_accept`] binds one.
    pub(crate) fn new(
        shared: &Rc<Shared>,
        handler: Rc<dyn Handler>,
        connections: &Rc<Connections>,
        listener: Option<TcpListener>,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            handler,
            connections: Rc::clone(connections),
            listener,
            tasks: JoinSet::new(),
        }
    }

    /// Accepts connections until idle ones are to be closed, then waits for the remaining ones.
    pub(crate) async fn accept(&mut self) {
        while let Some(listener) = &self.listener {
            tokio::select! {
                accepted = listener.accept() => self.handle_accepted(accepted).await,
                Some(ended) = self.tasks.join_next() => {
                    self.shared.tasks.joined(CONNECTION_TASK, ended);
                }
                () = self.shared.wait_for_close() => {
                    self.accept_waiting().await;
                    self.listener = None;
                }
            }
        }
        while let Some(ended) = self.tasks.join_next().await {
            self.shared.tasks.joined(CONNECTION_TASK, ended);
        }
    }

    /// Accepts connections like [`Self::accept`], after binding `address` if there is no listener yet.
    pub(crate) async fn bind_and_accept(&mut self, mut address: SocketAddr) {
        while self.listener.is_none() {
            tokio::select! {
                () = sleep(BIND_RETRY_INTERVAL) => {}
                () = self.shared.wait_for_close() => return,
            }
            // The first failure was logged when the process started.
            let bound = listeners::try_listen(&mut address).ok();
            match bound.map(TcpListener::from_std) {
                Some(Ok(listener)) => self.listener = Some(listener),
                Some(Err(err)) => self.shared.log_connection_error(&err),
                None => {}
            }
        }
        self.accept().await;
    }

    /// Accepts the connections that are open already: their callers may have sent requests, which closing
    /// the listener would reset.
    async fn accept_waiting(&mut self) {
        for _ in 0..MAX_WAITING_CONNECTIONS {
            let Some(listener) = &self.listener else {
                return;
            };
            let Some(accepted) = poll_after_input(pin!(listener.accept())).await else {
                return;
            };
            self.handle_accepted(accepted).await;
        }
    }

    async fn handle_accepted(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let now = Instant::now();
        match accepted {
            Ok((stream, _)) => {
                let connection = self.connections.open(now);
                let (shared, handler) = (Rc::clone(&self.shared), Rc::clone(&self.handler));
                self.tasks
                    .spawn_local(serve(shared, handler, stream, connection));
                self.connections.wait_for_leaving().await;
            }
            Err(err) => {
                self.shared.log_connection_error(&err);
                self.shared.connections.callers.make_room(now);
                sleep(ACCEPT_ERROR_BACKOFF).await;
            }
        }
    }
}
