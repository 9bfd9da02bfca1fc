//! A small HTTP/1.1 server whose answers are scripts of bytes, pauses and breaks, so that a stand-in
//! can misbehave as real servers do.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::{Arc, OnceLock, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_http::HttpMessage;
use actix_http::h1::{Codec, Message};
use actix_rt::System;
use actix_rt::time::sleep;
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet, LocalSet};
use tokio_util::codec::Decoder;

use crate::wire_query::{QueryValues, parse_query};

/// The time in which bytes that were written arrive.
const SEND_TIME: Duration = Duration::from_millis(1);
/// How long an address that is in use is tried again: a process that is being started may hold a copy
/// of a listener that was closed.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A request as it came.
#[derive(Debug, Clone, Default)]
pub struct WireRequest {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The decoded values of the query by name; `None` if it is malformed.
    pub query: Option<QueryValues>,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
    /// How long its answer was held back.
    pub waited: Duration,
}

/// One step of an answer.
#[derive(Debug, Clone)]
pub enum Step {
    /// Write bytes.
    Write(Bytes),
    /// Wait.
    Pause(Duration),
    /// Wait, and ask the handler again.
    Retry(Duration),
    /// Close the connection.
    Close,
    /// Reset the connection, a moment after what was written has been sent.
    Reset,
    /// Write bytes again and again until the connection is closed.
    Repeat(Bytes),
    /// Say nothing more, and keep the connection open.
    Silence,
    /// End the server, with all its connections, after a delay; the connection does not have to last
    /// for as long.
    End(Duration),
    /// Cut the server's power after a delay, likewise: its connections stay open and silent, and no new
    /// one is accepted.
    LosePower(Duration),
    /// Make the server hang after a delay, likewise: the system accepts connections for it, and nothing is
    /// sent on any.
    Hang(Duration),
    /// Record when the answer has ended or was abandoned.
    RecordEnd(Arc<RunEnd>),
}

/// When an answer has ended or was abandoned.
pub type EndTime = Arc<OnceLock<Instant>>;

/// Records the end of an answer when its last clone is dropped.
#[derive(Debug)]
pub struct RunEnd(pub EndTime);

impl Drop for RunEnd {
    fn drop(&mut self) {
        // The first end counts.
        let _ = self.0.set(Instant::now());
    }
}

/// The steps of one answer, in order.
pub type Script = Vec<Step>;

/// What answers requests; it is called from the server's thread.
pub type WireHandler = Arc<dyn Fn(&WireRequest) -> Script + Send + Sync>;

/// What a server does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ServerPhase {
    #[default]
    Running,
    /// It accepts no new connections and serves those that are open.
    Closing,
    /// Its thread is stalled for this long.
    Suspended(Duration),
    /// It closes one in this many of its open connections.
    BreakingConnections(usize),
    /// Its thread is stalled until the server is dropped, and the system answers no attempt to connect.
    PowerLost,
    /// Its thread is stalled until the server is dropped, and the system accepts connections.
    Hung,
    Ended,
}

/// Changes what a server does.
#[derive(Debug, Clone)]
pub(crate) struct Stop(watch::Sender<ServerPhase>);

impl Stop {
    fn end_server(&self) {
        self.0.send_replace(ServerPhase::Ended);
    }

    fn lose_power(&self) {
        self.0.send_replace(ServerPhase::PowerLost);
    }

    fn hang(&self) {
        self.0.send_replace(ServerPhase::Hung);
    }

    fn resume(&self) {
        self.0.send_if_modified(|phase| {
            let is_passing = matches!(
                phase,
                ServerPhase::Suspended(_) | ServerPhase::BreakingConnections(_)
            );
            if is_passing {
                *phase = ServerPhase::Running;
            }
            is_passing
        });
    }

    fn has_lost_power(&self) -> bool {
        *self.0.borrow() == ServerPhase::PowerLost
    }

    fn is_hung(&self) -> bool {
        *self.0.borrow() == ServerPhase::Hung
    }
}

/// A server on a loopback port; dropped, it ends and is joined.
#[derive(Debug)]
pub struct WireServer {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Stop,
    /// Dropped, it wakes up a server without power, which ends then.
    power: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl WireServer {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// No port or thread can be had.
    pub fn start(handler: WireHandler) -> io::Result<Self> {
        Self::start_at(free_port(), handler)
    }

    /// Starts a server at an address, such as that of a server that has ended.
    ///
    /// # Errors
    ///
    /// The address is in use, or no thread can be had.
    pub fn start_at(address: SocketAddr, handler: WireHandler) -> io::Result<Self> {
        let serve = move |stream, stop| serve(stream, Arc::clone(&handler), stop);
        Self::start_with(address, serve)
    }

    /// Returns whether a step has ended the server.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Returns whether a step has cut the server's power.
    #[must_use]
    pub fn has_lost_power(&self) -> bool {
        self.stop.has_lost_power()
    }

    /// Returns whether a step has made the server hang.
    #[must_use]
    pub fn is_hung(&self) -> bool {
        self.stop.is_hung()
    }

    /// Makes the server refuse new connections and go on with those that are open.
    pub fn refuse_connections(&self) {
        self.stop.0.send_replace(ServerPhase::Closing);
    }

    /// Makes the server are stalled for a while, with all its connections open.
    pub fn suspend(&self, span: Duration) {
        self.interrupt(ServerPhase::Suspended(span));
    }

    /// Makes the server close one in `one_in` of its open connections, and go on.
    pub fn break_connections(&self, one_in: usize) {
        self.interrupt(ServerPhase::BreakingConnections(one_in));
    }

    /// Puts the server into a phase after which it goes on, if it runs.
    fn interrupt(&self, interruption: ServerPhase) {
        self.stop.0.send_if_modified(|phase| {
            let is_running = *phase == ServerPhase::Running;
            if is_running {
                *phase = interruption;
            }
            is_running
        });
    }

    /// Starts a server at an address that gives each connection to `serve`.
    pub(crate) fn start_with<F, S>(address: SocketAddr, serve: F) -> io::Result<Self>
    where
        F: Fn(TcpStream, Stop) -> S + Send + 'static,
        S: Future<Output = ()> + 'static,
    {
        let listener = bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stop = Stop(watch::Sender::default());
        let own_stop = stop.clone();
        let (power, dropped) = mpsc::channel();
        let thread = thread::Builder::new().spawn(move || {
            let served = accept(listener, serve, own_stop, dropped);
            System::new().block_on(LocalSet::new().run_until(served));
        })?;
        Ok(Self {
            address,
            stop,
            power: Some(power),
            thread: Some(thread),
        })
    }
}

/// Returns the loopback address with a port that the system chooses.
pub(crate) fn free_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Drop for WireServer {
    fn drop(&mut self) {
        self.join();
    }
}

impl WireServer {
    /// Ends the server, if it runs, and returns once its address is free.
    pub(crate) fn join(&mut self) {
        self.stop.end_server();
        self.power.take();
        if let Some(thread) = self.thread.take() {
            // A panic of the server has already been printed and fails the test by its silence.
            let _ = thread.join();
        }
    }
}

/// Binds an address; one that is in use is tried again for [`BIND_TIMEOUT`].
fn bind(address: SocketAddr) -> io::Result<StdListener> {
    let give_up_at = Instant::now() + BIND_TIMEOUT;
    loop {
        match StdListener::bind(address) {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                thread::sleep(BIND_RETRY_INTERVAL);
            }
            bound => return bound,
        }
    }
}

async fn accept<F, S>(listener: StdListener, serve: F, stop: Stop, dropped: mpsc::Receiver<()>)
where
    F: Fn(TcpStream, Stop) -> S,
    S: Future<Output = ()> + 'static,
{
    let mut changed = stop.0.subscribe();
    // The server may have been ended before this thread ran.
    changed.mark_changed();
    let listener = TcpListener::from_std(listener).expect("a listener that does not block");
    let mut connections = JoinSet::new();
    let mut open: Vec<AbortHandle> = Vec::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    open.retain(|connection| !connection.is_finished());
                    open.push(connections.spawn_local(serve(stream, stop.clone())));
                }
            }
            Some(_) = connections.join_next() => {}
            // The sender is a part of this task.
            _ = changed.changed() => {
                let phase = *changed.borrow_and_update();
                match phase {
                    ServerPhase::Running => {}
                    ServerPhase::Closing => {
                        drop(listener);
                        // The sender is a part of this task.
                        let is_ended = |phase: &ServerPhase| *phase == ServerPhase::Ended;
                        let _ = changed.wait_for(is_ended).await;
                        return connections.shutdown().await;
                    }
                    ServerPhase::Suspended(span) => {
                        thread::sleep(span);
                        stop.resume();
                    }
                    ServerPhase::BreakingConnections(one_in) => {
                        open.iter().step_by(one_in).for_each(AbortHandle::abort);
                        stop.resume();
                    }
                    ServerPhase::PowerLost => {
                        let _held = block_connections(&listener);
                        // The sender only ever is dropped.
                        let _ = dropped.recv();
                        break;
                    }
                    ServerPhase::Hung => {
                        // The sender only ever is dropped.
                        let _ = dropped.recv();
                        break;
                    }
                    ServerPhase::Ended => break,
                }
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

/// Fills the queue of a listener, so that the system answers no attempt to connect; the connections
/// returned keep it full.
fn block_connections(listener: &TcpListener) -> Vec<StdStream> {
    const FILL_TIMEOUT: Duration = Duration::from_millis(20);
    let address = listener.local_addr().expect("a bound listener");
    SockRef::from(listener).listen(0).expect("a listener");
    let mut held = Vec::new();
    while let Ok(connection) = StdStream::connect_timeout(&address, FILL_TIMEOUT) {
        held.push(connection);
    }
    held
}

async fn serve(mut stream: TcpStream, handler: WireHandler, stop: Stop) {
    let mut buffer = BytesMut::new();
    let mut codec = Codec::default();
    while let Some(mut request) = read(&mut stream, &mut buffer, &mut codec).await {
        let mut steps = VecDeque::from(handler(&request));
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Write(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(span) => {
                    if closed_within(&mut stream, &mut buffer, span).await {
                        return;
                    }
                }
                Step::Retry(span) => {
                    if closed_within(&mut stream, &mut buffer, span).await {
                        return;
                    }
                    request.waited += span;
                    steps = handler(&request).into();
                }
                Step::Repeat(bytes) => {
                    while stream.write_all(&bytes).await.is_ok() {}
                    return;
                }
                Step::Close => return,
                Step::Reset => {
                    sleep(SEND_TIME).await;
                    // A connection that can't be reset is closed.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Step::Silence => std::future::pending().await,
                Step::RecordEnd(end) => drop(end),
                Step::End(delay) => {
                    sleep(delay).await;
                    stop.end_server();
                    // The server drops this connection with the others.
                    std::future::pending::<()>().await;
                }
                Step::LosePower(delay) => {
                    sleep(delay).await;
                    stop.lose_power();
                    std::future::pending::<()>().await;
                }
                Step::Hang(delay) => {
                    sleep(delay).await;
                    stop.hang();
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}

/// Waits; true when the other side closed meanwhile.
async fn closed_within(stream: &mut TcpStream, buffer: &mut BytesMut, span: Duration) -> bool {
    let end = sleep(span);
    tokio::pin!(end);
    loop {
        tokio::select! {
            () = &mut end => return false,
            read = stream.read_buf(buffer) => {
                if !matches!(read, Ok(count) if count > 0) {
                    return true;
                }
            }
        }
    }
}

async fn read(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    codec: &mut Codec,
) -> Option<WireRequest> {
    let mut request: Option<WireRequest> = None;
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer).ok()? {
            Some(Message::Item(head)) => {
                let has_body = codec.message_type() != actix_http::h1::MessageType::None;
                let read = wire_request(&head);
                if !has_body {
                    return Some(read);
                }
                request = Some(read);
            }
            Some(Message::Chunk(Some(bytes))) => body.extend_from_slice(&bytes),
            Some(Message::Chunk(None)) => {
                let mut request = request?;
                request.body = body.freeze();
                return Some(request);
            }
            None => {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

fn wire_request(head: &actix_http::Request) -> WireRequest {
    let query = head.uri().query().unwrap_or_default();
    let headers = head.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    WireRequest {
        method: head.method().to_string(),
        path: head.uri().path().to_owned(),
        query: parse_query(query),
        headers: headers.collect(),
        body: Bytes::new(),
        waited: Duration::ZERO,
    }
}

/// The bytes of a whole answer with a length.
#[must_use]
pub fn full_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes.freeze()
}

/// The bytes of the head of an answer in chunks.
#[must_use]
pub fn chunked_head(status: u16, headers: &[(&str, &str)]) -> Bytes {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    bytes.freeze()
}

fn head(status: u16, headers: &[(&str, &str)]) -> BytesMut {
    let mut head = format!("HTTP/1.1 {status} status\r\n");
    for (name, value) in headers {
        head.extend([name, ": ", value, "\r\n"]);
    }
    BytesMut::from(head.as_bytes())
}

/// One chunk.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Bytes {
    let mut chunk = BytesMut::from(format!("{:x}\r\n", bytes.len()).as_bytes());
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk.freeze()
}

/// The chunk that ends a body.
#[must_use]
pub fn last_chunk() -> Bytes {
    Bytes::from_static(b"0\r\n\r\n")
}
