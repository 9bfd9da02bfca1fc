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
    resets: Resets,
    _server: WireServer,
}

/// Which connections were reset, by their numbers.
#[derive(Debug, Default)]
struct ResetState {
    /// The number of connections that were opened.
    opened: u64,
    /// The resets so far: each of those numbered below the first that is a multiple of the second.
    resets: Vec<(u64, u64)>,
}

impl ResetState {
    fn is_reset(&self, number: u64) -> bool {
        let mut resets = self.resets.iter();
        resets.any(|(end, one_in)| number < *end && number.is_multiple_of(*one_in))
    }
}

type Resets = Arc<Mutex<ResetState>>;
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
        let resets = Resets::default();
        let state = Arc::clone(&resets);
        let handler = move |stream, _| {
            let faults = Faults::new(&current, &count, &state);
            proxy_connection(stream, target, faults)
        };
        let server = WireServer::start_with(free_port(), handler)?;
        Ok(Self {
            address: server.address,
            mode,
            silenced,
            resets,
            _server: server,
        })
    }

    /// Drops all bytes on the connections that are open now, without closing them; new connections
    /// work.
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes one in `one_in` of the connections that are open now; new connections work.
    pub fn reset_open_connections(&self, one_in: u64) {
        let mut state = lock(&self.resets);
        let opened = state.opened;
        state.resets.push((opened, one_in));
    }

    /// Changes the mode, also of open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        *lock(&self.mode) = mode;
    }
}

/// The faults of one connection.
struct Faults {
    mode: Mode,
    silenced: Silenced,
    /// How often connections had been silenced when it was opened.
    silenced_before: u64,
    resets: Resets,
    number: u64,
}

impl Faults {
    fn new(mode: &Mode, silenced: &Silenced, resets: &Resets) -> Self {
        let mut state = lock(resets);
        state.opened += 1;
        Self {
            mode: Arc::clone(mode),
            silenced: Arc::clone(silenced),
            silenced_before: silenced.load(Ordering::Relaxed),
            resets: Arc::clone(resets),
            number: state.opened - 1,
        }
    }

    fn is_silenced(&self) -> bool {
        self.silenced.load(Ordering::Relaxed) != self.silenced_before
    }

    async fn wait_for_reset(&self) {
        while *lock(&self.mode) != ProxyMode::Reset && !lock(&self.resets).is_reset(self.number) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

async fn proxy_connection(caller: TcpStream, target: SocketAddr, faults: Faults) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    // When either side closes, both are closed, as if the proxy's process had died.
    tokio::select! {
        () = forward(from_caller, to_server, &faults, true) => {}
        () = forward(from_server, to_caller, &faults, false) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: &Faults,
    is_request: bool,
) {
    let mut buffer = vec![0_u8; 16_384];
    loop {
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            () = faults.wait_for_reset() => return,
        };
        if count == 0 || !wait_until_allowed(&faults.mode, is_request).await {
            return;
        }
        if faults.is_silenced() {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
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
