//! Provides a loopback proxy that forwards, delays or blocks the bytes of a backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::http::lock;
use crate::wire_server::{WireServer, free_port};

/// How often a proxy checks its mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards them.
    Forward,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Forwards requests and withholds responses.
    RequestsOnly,
    /// Withholds everything and keeps connections open.
    Blackhole,
    /// Closes connections.
    Reset,
}

/// A proxy on a port of its own; dropping it stops and joins its thread.
#[derive(Debug)]
pub struct Proxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    mode: Mode,
    silenced: Silenced,
    _server: WireServer,
}

type Mode = Arc<Mutex<ProxyMode>>;
/// How often the open connections were silenced.
type Silenced = Arc<AtomicU64>;

impl Proxy {
    /// Starts a proxy that connects to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or thread can be obtained.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let mode = Arc::new(Mutex::new(ProxyMode::Forward));
        let current = Arc::clone(&mode);
        let silenced = Silenced::default();
        let count = Arc::clone(&silenced);
        let handler = move |stream, _| {
            proxy_connection(stream, target, Arc::clone(&current), Arc::clone(&count))
        };
        let server = WireServer::start_with(free_port(), handler)?;
        Ok(Self {
            address: server.address,
            mode,
            silenced,
            _server: server,
        })
    }

    /// Drops all bytes on the connections that are open now, without closing them; new connections
    /// work.
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::Relaxed);
    }

    /// Changes the mode, also of open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *lock(&self.mode) = mode;
    }
}

async fn proxy_connection(caller: TcpStream, target: SocketAddr, mode: Mode, silenced: Silenced) {
    let opened_at = silenced.load(Ordering::Relaxed);
    let is_silenced = || silenced.load(Ordering::Relaxed) != opened_at;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    // When either side closes, both are closed, as if the proxy's process had died.
    tokio::select! {
        () = forward(from_caller, to_server, &mode, &is_silenced, true) => {}
        () = forward(from_server, to_caller, &mode, &is_silenced, false) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: &Mode,
    is_silenced: &impl Fn() -> bool,
    is_request: bool,
) {
    let mut buffer = vec![0_u8; 16_384];
    loop {
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            () = wait_for_reset(mode) => return,
        };
        if count == 0 || !wait_until_allowed(mode, is_request).await {
            return;
        }
        if is_silenced() {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_reset(mode: &Mode) {
    while *lock(mode) != ProxyMode::Reset {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until bytes may be forwarded; returns false if the connection must be closed.
async fn wait_until_allowed(mode: &Mode, is_request: bool) -> bool {
    loop {
        let current = *lock(mode);
        match current {
            ProxyMode::Forward => return true,
            ProxyMode::Delay(delay) => {
                sleep(delay).await;
                return true;
            }
            ProxyMode::RequestsOnly if is_request => return true,
            ProxyMode::RequestsOnly | ProxyMode::Blackhole => sleep(POLL_INTERVAL).await,
            ProxyMode::Reset => return false,
        }
    }
}
