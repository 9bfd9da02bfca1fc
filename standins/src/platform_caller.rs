//! Sends requests to a gateway and reads one response, complete or truncated.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::platform_run::HOST;

/// Timeout of each read of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A response as the caller received it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body without its framing.
    pub body: String,
    /// Whether the whole body was received.
    pub is_complete: bool,
    /// Time from the start of the read to its end.
    pub took: Duration,
}

/// A request to a gateway.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl CallerRequest {
    /// Creates a request with an id.
    #[must_use]
    pub fn new(method: &str, path: &str, id: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        }
        .with("Request-Id", id)
    }

    /// Creates a turn of a program.
    #[must_use]
    pub fn turn(path: &str, id: &str, program: &str, body: &str) -> Self {
        let turn = Self::new("POST", path, id)
            .with("Program-Id", program)
            .with("Session-Id", program)
            .with("Token-Usage", "100,50")
            .with("Prompt-Prefix", &format!("aa:1000,{program}:100"));
        Self {
            body: body.to_owned(),
            ..turn
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Removes a header.
    #[must_use]
    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(header, _)| header != name);
        self
    }

    /// Encodes the request as HTTP/1.1.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.extend([name, ": ", value, "\r\n"]);
        }
        if !self.body.is_empty() {
            let length = self.body.len().to_string();
            text.extend(["Content-Length: ", &length, "\r\n"]);
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        text.into_bytes()
    }

    /// Sends the request on a new connection and reads its response.
    ///
    /// # Errors
    ///
    /// The connection fails, or no response head is received.
    pub fn send(&self, address: SocketAddr) -> io::Result<CallerResponse> {
        exchange(address, &self.bytes())
    }
}

/// Sends bytes on a new connection and reads one response.
///
/// # Errors
///
/// The connection fails, or no response head is received.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> io::Result<CallerResponse> {
    let mut connection = TcpStream::connect(address)?;
    connection.set_nodelay(true)?;
    connection.write_all(bytes)?;
    read_response(&mut connection)
}

/// Reads one response from a connection.
///
/// # Errors
///
/// The connection ends before the response head is complete.
pub fn read_response(connection: &mut TcpStream) -> io::Result<CallerResponse> {
    read_next(connection, &mut Vec::new())
}

/// Reads the responses to requests that were sent one after the other on one connection.
#[derive(Debug)]
pub struct ResponseReader {
    /// The connection.
    pub connection: TcpStream,
    /// What was read of later responses.
    bytes: Vec<u8>,
}

impl ResponseReader {
    /// Creates a reader of a connection of which nothing was read.
    #[must_use]
    pub fn new(connection: TcpStream) -> Self {
        Self {
            connection,
            bytes: Vec::new(),
        }
    }

    /// Reads the next response.
    ///
    /// # Errors
    ///
    /// The connection ends before the response head is complete.
    pub fn read(&mut self) -> io::Result<CallerResponse> {
        read_next(&mut self.connection, &mut self.bytes)
    }
}

/// Reads a response of which `bytes` have arrived, and leaves there what follows it.
fn read_next(connection: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<CallerResponse> {
    let started = Instant::now();
    connection.set_read_timeout(Some(READ_TIMEOUT))?;
    loop {
        let decoded = decode(bytes)?;
        let decoded = decoded.map(|(response, length)| {
            let took = started.elapsed();
            (CallerResponse { took, ..response }, length)
        });
        if let Some((response, length)) = &decoded
            && response.is_complete
        {
            bytes.drain(..*length);
            return Ok(response.clone());
        }
        match (read_more(connection, bytes), decoded) {
            (Ok(1..), _) => {}
            // A broken connection leaves the response incomplete, which callers check.
            (_, Some((response, _))) => return Ok(response),
            (Ok(_), None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            (Err(err), None) => return Err(err),
        }
    }
}

/// Reads what arrives of a response within `span`; an empty response if its head does not.
///
/// # Errors
///
/// The connection fails, or the response head is invalid.
pub fn read_start(connection: &mut TcpStream, span: Duration) -> io::Result<CallerResponse> {
    let end = Instant::now() + span;
    let mut bytes = Vec::new();
    while let Some(left) = end.checked_duration_since(Instant::now()) {
        connection.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match read_more(connection, &mut bytes) {
            Ok(0) => break,
            Ok(_) => {}
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
            Err(err) => return Err(err),
        }
    }
    let decoded = decode(&bytes)?;
    Ok(decoded.map_or_else(CallerResponse::default, |(response, _)| response))
}

/// Decodes a response as far as received, with its length; `None` before the end of its head.
fn decode(bytes: &[u8]) -> io::Result<Option<(CallerResponse, usize)>> {
    let Some(head_end) = find(bytes, b"\r\n\r\n").map(|at| at + 4) else {
        return Ok(None);
    };
    let (head, rest) = bytes.split_at(head_end);
    let response = parse_head(&String::from_utf8_lossy(head))?;
    let length = response.headers.get("content-length");
    let length: Option<usize> = length.and_then(|length| length.parse().ok());
    let (body, end) = match length {
        Some(length) => (
            rest[..rest.len().min(length)].to_vec(),
            Some(length).filter(|length| rest.len() >= *length),
        ),
        None => decode_chunked(rest),
    };
    let response = CallerResponse {
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete: end.is_some(),
        ..response
    };
    Ok(Some((response, head_end + end.unwrap_or(rest.len()))))
}

fn read_more(connection: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0_u8; 4_096];
    let count = connection.read(&mut buffer)?;
    received.extend_from_slice(&buffer[..count]);
    Ok(count)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn parse_head(head: &str) -> io::Result<CallerResponse> {
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers = lines.filter_map(|line| line.split_once(':'));
    Ok(CallerResponse {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers: headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect(),
        ..CallerResponse::default()
    })
}

/// Decodes a chunked body as far as received, with its length if the last chunk was received.
fn decode_chunked(all: &[u8]) -> (Vec<u8>, Option<usize>) {
    const LAST: &[u8] = b"0\r\n\r\n";
    let mut body = Vec::new();
    let mut bytes = all;
    while let Some(line_end) = find(bytes, b"\r\n") {
        let size = std::str::from_utf8(&bytes[..line_end]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            let end = all.len() - bytes.len() + LAST.len();
            return (body, Some(end).filter(|end| *end <= all.len()));
        }
        let start = line_end + 2;
        let Some(data) = bytes.get(start..start + size) else {
            body.extend_from_slice(&bytes[start..]);
            break;
        };
        body.extend_from_slice(data);
        bytes = bytes.get(start + size + 2..).unwrap_or_default();
    }
    (body, None)
}
