//! Sends raw HTTP requests to a daemon.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Keeps a failing test from hanging.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends `request` unchanged and returns everything received until the connection closes.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a valid timeout");
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends a `GET` and returns the body of the response.
pub fn get(address: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let response = exchange(address, request.as_bytes());
    let (_, body) = response.split_once("\r\n\r\n").expect("a response header");
    body.to_owned()
}
