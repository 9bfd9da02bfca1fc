//! A crowd of callers that do not behave: they stop short of the end of a request, send without end, or
//! never read their responses, and keep their connections open.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::platform_run::HOST;

/// The bytes that the system holds for a caller of what its gateway has not taken.
const SEND_BUFFER_BYTES: usize = 65_536;
/// The bytes that the system takes for a caller, which reads nothing.
const RECEIVE_BUFFER_BYTES: usize = 4_096;
/// How long a caller waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// A crowd has settled once none of its callers could send anything for this long.
const SETTLING_TIME: Duration = Duration::from_millis(400);
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct CallerInput {
    /// What it sends first.
    start: Vec<u8>,
    /// What it sends after that, repeatedly.
    repeated: Arc<[u8]>,
    /// How many bytes it sends in all; then it keeps its connection open.
    length: usize,
}

impl CallerInput {
    /// Sends some bytes.
    #[must_use]
    pub fn once(bytes: Vec<u8>) -> Self {
        Self {
            length: bytes.len(),
            start: bytes,
            repeated: Arc::default(),
        }
    }

    /// Sends some bytes and then others repeatedly, until `length` bytes are sent.
    #[must_use]
    pub fn repeating(start: Vec<u8>, repeated: &[u8], length: usize) -> Self {
        Self {
            start,
            repeated: repeated.into(),
            length,
        }
    }

    /// Sends some bytes and then others without end.
    #[must_use]
    pub fn endless(start: Vec<u8>, repeated: &[u8]) -> Self {
        Self::repeating(start, repeated, usize::MAX)
    }

    /// Returns what follows the first `sent` bytes, in part; nothing at the end.
    fn after(&self, sent: usize) -> &[u8] {
        let rest = match sent.checked_sub(self.start.len()) {
            None => &self.start[sent..],
            Some(repeated) if !self.repeated.is_empty() => {
                &self.repeated[repeated % self.repeated.len()..]
            }
            Some(_) => &[],
        };
        &rest[..rest.len().min(self.length - sent)]
    }
}

/// Returns the head of a request with a body that is announced with its length.
#[must_use]
pub fn announced_head(path: &str, id: &str, body_bytes: usize) -> Vec<u8> {
    let framing = format!("Content-Length: {body_bytes}");
    head("POST", path, id, &framing).into_bytes()
}

/// Returns the head of a request whose body is sent in chunks.
#[must_use]
pub fn chunked_head(path: &str, id: &str) -> Vec<u8> {
    head("POST", path, id, "Transfer-Encoding: chunked").into_bytes()
}

/// Returns the start of a head of `bytes` bytes that does not end.
#[must_use]
pub fn unfinished_head(path: &str, id: &str, bytes: usize) -> Vec<u8> {
    let mut text = head("GET", path, id, "X-Long: ");
    text.truncate(text.len() - 4);
    let mut bytes_sent = text.into_bytes();
    bytes_sent.resize(bytes, b'x');
    bytes_sent
}

fn head(method: &str, path: &str, id: &str, last: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{last}\r\n\r\n")
}

/// Returns a chunk of a body.
#[must_use]
pub fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// A caller of a crowd.
#[derive(Debug)]
struct Member {
    connection: TcpStream,
    input: CallerInput,
    sent: usize,
    is_closed: bool,
}

impl Member {
    fn connect(address: SocketAddr, input: CallerInput) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
        let connection = TcpStream::from(socket);
        connection.set_nonblocking(true)?;
        Ok(Self {
            connection,
            input,
            sent: 0,
            is_closed: false,
        })
    }

    /// Sends what its gateway takes now; returns whether that is anything.
    fn send(&mut self) -> bool {
        let before = self.sent;
        while !self.is_closed {
            let next = self.input.after(self.sent);
            if next.is_empty() {
                break;
            }
            match self.connection.write(next) {
                Ok(count) => self.sent += count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                // The gateway has closed the connection, which it may.
                Err(_) => self.is_closed = true,
            }
            if self.sent - before > SEND_BUFFER_BYTES {
                break;
            }
        }
        self.sent > before
    }
}

/// Callers that keep their connections open until they are dropped, and read nothing.
#[derive(Debug)]
pub struct CallerCrowd {
    members: Vec<Member>,
}

impl CallerCrowd {
    /// Connects `count` callers, or as many as the gateway takes.
    #[must_use]
    pub fn connect(
        address: SocketAddr,
        count: usize,
        input: impl Fn(usize) -> CallerInput,
    ) -> Self {
        let connect = |number| Member::connect(address, input(number)).ok();
        Self {
            members: (0..count).map_while(connect).collect(),
        }
    }

    /// Sends until no caller can send anything more, or for `limit` at most.
    pub fn send(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut sent_at = Instant::now();
        while Instant::now() < end && sent_at.elapsed() < SETTLING_TIME {
            let progress = self.members.iter_mut().map(Member::send);
            if progress.fold(false, |any, is_sent| any | is_sent) {
                sent_at = Instant::now();
            } else {
                thread::sleep(RETRY_INTERVAL);
            }
        }
    }

    /// Sends one byte of each body now and then for `span`.
    pub fn trickle(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            for member in &mut self.members {
                // A connection that the gateway has closed sends nothing more.
                let _ = member.connection.write(b"x");
            }
            thread::sleep(TRICKLE_INTERVAL);
        }
    }
}
