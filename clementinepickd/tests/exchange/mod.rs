//! A plain HTTP exchange with a daemon.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Guards against hanging; no test waits for it to pass.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Sends bytes as they are, and gives back all that comes until the connection is closed.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// The body of a `GET`.
pub fn get(address: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let answer = exchange(address, request.as_bytes());
    let (_, body) = answer.split_once("\r\n\r\n").expect("a header");
    body.to_owned()
}
