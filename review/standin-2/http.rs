//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map(|(_, v)| v.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (n, v) = pair.split_once('=')?;
            (n == name).then_some(v)
        })
    }
}

pub struct Conn {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok(data)
}

impl Conn {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { reader, stream })
    }

    pub fn read_request(&mut self) -> io::Result<Request> {
        let line = read_line(&mut self.reader)?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let headers = read_headers(&mut self.reader)?;
        let mut body = Vec::new();
        if let Some(length) = find(&headers, "content-length") {
            body = vec![0; length.parse().unwrap_or(0)];
            self.reader.read_exact(&mut body)?;
        } else if find(&headers, "transfer-encoding").is_some() {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    break;
                }
                body.extend(chunk);
            }
        }
        Ok(Request {
            method,
            target,
            headers,
            body,
        })
    }

    pub fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves each connection on a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: Arc<dyn Fn(&mut Conn, Request) -> io::Result<()> + Send + Sync>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let Ok(mut conn) = Conn::new(stream) else {
                        return;
                    };
                    while let Ok(request) = conn.read_request() {
                        if handle(&mut conn, request).is_err() {
                            return;
                        }
                    }
                });
        }
    });
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

/// A connection of a client.
pub struct Client {
    pub conn: Conn,
}

impl Client {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            conn: Conn::new(stream)?,
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.conn.stream.write_all(&out)
    }

    pub fn read_head(&mut self) -> io::Result<Response> {
        let line = read_line(&mut self.conn.reader)?;
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.conn.reader)?;
        Ok(Response { status, headers })
    }

    /// Reads a body to its end.
    pub fn read_body(&mut self, head: &Response) -> io::Result<Vec<u8>> {
        if find(&head.headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = read_chunk(&mut self.conn.reader)?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = find(&head.headers, "content-length").and_then(|l| l.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.conn.reader.read_exact(&mut body)?;
        Ok(body)
    }
}
