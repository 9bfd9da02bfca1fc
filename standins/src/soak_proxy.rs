//! A loopback proxy before a server: passes bytes on, late, one way, not at all, or breaks off.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::http::lock;
use crate::wire_server::WireServer;

/// How often a proxy that holds bytes back looks whether it may pass them on.
const LOOK: Duration = Duration::from_millis(10);

/// What a proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// It passes them on.
    Forward,
    /// It passes them on this much later.
    Delay(Duration),
    /// It passes on what the caller sends and holds the answers back.
    RequestsOnly,
    /// It holds all back; connections stay open.
    Blackhole,
    /// It breaks connections off.
    Reset,
}

/// A proxy on a port of its own; dropped, it ends and is joined.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Mode,
    _server: WireServer,
}

type Mode = Arc<Mutex<ProxyMode>>;

impl Proxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    ///
    /// No port or thread can be had.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let mode = Arc::new(Mutex::new(ProxyMode::Forward));
        let current = Arc::clone(&mode);
        let carry_on = move |stream| carry(stream, target, Arc::clone(&current));
        let server = WireServer::start_with(carry_on)?;
        Ok(Self {
            address: server.address,
            mode,
            _server: server,
        })
    }

    /// Sets what becomes of bytes from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        *lock(&self.mode) = mode;
    }
}

async fn carry(caller: TcpStream, target: SocketAddr, mode: Mode) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    // Either side's end is the connection's, as with a process in the middle that is lost.
    tokio::select! {
        () = pass(from_caller, to_server, &mode, true) => {}
        () = pass(from_server, to_caller, &mode, false) => {}
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &Mode, is_request: bool) {
    let mut buffer = vec![0_u8; 16_384];
    loop {
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            () = broken(mode) => return,
        };
        if count == 0 || !may_pass(mode, is_request).await {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn broken(mode: &Mode) {
    while *lock(mode) != ProxyMode::Reset {
        sleep(LOOK).await;
    }
}

/// Waits until bytes may be passed on; false when the connection breaks off.
async fn may_pass(mode: &Mode, is_request: bool) -> bool {
    loop {
        let current = *lock(mode);
        match current {
            ProxyMode::Forward => return true,
            ProxyMode::Delay(span) => {
                sleep(span).await;
                return true;
            }
            ProxyMode::RequestsOnly if is_request => return true,
            ProxyMode::RequestsOnly | ProxyMode::Blackhole => sleep(LOOK).await,
            ProxyMode::Reset => return false,
        }
    }
}
