//! The platform's store: appends, reads and the newest record of each key.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, serve};

const ANSWER: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const MAX_STORED: u64 = 400_000_000;

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Default)]
pub struct Store {
    parts: Mutex<HashMap<(String, u32), Part>>,
    grown: Condvar,
    /// While set, calls are answered with 503 and nothing is done.
    pub is_down: AtomicBool,
    pub stored: AtomicU64,
    pub refused_full: AtomicU64,
    pub appends: AtomicU64,
}

pub fn encode_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut out = ((1 + key.len() + value.len()) as u32)
        .to_be_bytes()
        .to_vec();
    out.push(key.len() as u8);
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(value);
    out
}

fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(data.len() * 4 / 3 + 4);
    for chunk in data.chunks(3) {
        let mut bytes = [0; 3];
        bytes[..chunk.len()].copy_from_slice(chunk);
        let n = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    pub fn start(address: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free port for the store");
        let at = listener.local_addr().expect("an address");
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        serve(
            listener,
            Arc::new(move |conn, request| served.handle(conn, &request)),
        );
        (store, at)
    }

    /// Appends records as the operator and the engines do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        // Without a condition, an append is always made.
        let _ = self.append(topic, 0, None, &encode_record(key, value));
    }

    fn append(
        &self,
        topic: &str,
        part: u32,
        at: Option<u64>,
        body: &[u8],
    ) -> Result<(u64, u64), u64> {
        let mut parts = self.parts.lock().expect("the store");
        let state = parts.entry((topic.to_owned(), part)).or_default();
        let end = state.records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = rest[4..4 + length].to_vec();
            rest = &rest[4 + length..];
            if topic.starts_with("keyed.") {
                let key_end = 1 + usize::from(record[0]);
                let (key, value) = (record[1..key_end].to_vec(), record[key_end..].to_vec());
                let offset = state.records.len() as u64;
                if value.is_empty() {
                    state.newest.remove(&key);
                } else {
                    state.newest.insert(key, (value, offset));
                }
            }
            state.records.push(record);
        }
        self.stored.fetch_add(body.len() as u64, Ordering::Relaxed);
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.grown.notify_all();
        Ok((end, state.records.len() as u64))
    }

    /// Returns the keys of a topic's partition that are kept.
    pub fn keys(&self, topic: &str, part: u32) -> Vec<String> {
        let parts = self.parts.lock().expect("the store");
        let state = parts.get(&(topic.to_owned(), part));
        let keys = state.into_iter().flat_map(|s| s.newest.keys());
        keys.map(|k| String::from_utf8_lossy(k).into_owned())
            .collect()
    }

    fn handle(&self, conn: &mut Conn, request: &Request) -> io::Result<()> {
        if self.is_down.load(Ordering::Relaxed) {
            return conn.respond("503 Service Unavailable", &[], b"");
        }
        thread::sleep(ANSWER);
        let topic = request.query("Topic").unwrap_or("");
        let part = request
            .query("part")
            .and_then(|p| p.parse().ok())
            .unwrap_or(0);
        let json = [("Content-Type", "application/json")];
        match (request.method.as_str(), request.path()) {
            ("POST", "/clementinepick/log-append") => {
                if self.stored.load(Ordering::Relaxed) > MAX_STORED {
                    self.refused_full.fetch_add(1, Ordering::Relaxed);
                    return conn.respond("507 Insufficient Storage", &[], b"");
                }
                let at = request.query("At").and_then(|a| a.parse().ok());
                match self.append(topic, part, at, &request.body) {
                    Ok((offset, end)) => {
                        let body = format!("{{\"Offset\":{offset},\"End\":{end}}}");
                        conn.respond("200 OK", &json, body.as_bytes())
                    }
                    Err(end) => {
                        let body = format!("{{\"End\":{end}}}");
                        conn.respond("412 Precondition Failed", &json, body.as_bytes())
                    }
                }
            }
            ("GET", "/clementinepick/log-read") => self.read(conn, request, topic, part),
            ("GET", "/clementinepick/log-newest") => {
                let after = request.query("after").map(|k| k.as_bytes().to_vec());
                let body = self.newest(topic, part, after);
                conn.respond("200 OK", &json, body.as_bytes())
            }
            _ => conn.respond("404 Not Found", &[], b""),
        }
    }

    fn newest(&self, topic: &str, part: u32, after: Option<Vec<u8>>) -> String {
        let mut parts = self.parts.lock().expect("the store");
        let state = parts.entry((topic.to_owned(), part)).or_default();
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (value, offset)) in &state.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_RECORDS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}"
            ));
        }
        let end = state.records.len();
        format!(
            "{{\"items\":[{}],\"MorePages\":{has_more},\"End\":{end}}}",
            items.join(",")
        )
    }

    fn read(&self, conn: &mut Conn, request: &Request, topic: &str, part: u32) -> io::Result<()> {
        let from: usize = request
            .query("From")
            .and_then(|f| f.parse().ok())
            .unwrap_or(0);
        let wait_ms = request
            .query("WaitMs")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut parts = self.parts.lock().expect("the store");
        let body = loop {
            let state = parts.entry((topic.to_owned(), part)).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if state.records.len() > from || left.is_zero() {
                let mut body = (state.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in state.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > PAGE_BYTES {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                break body;
            }
            parts = self.grown.wait_timeout(parts, left).expect("the store").0;
        };
        drop(parts);
        if self.is_down.load(Ordering::Relaxed) {
            return conn.respond("503 Service Unavailable", &[], b"");
        }
        conn.respond(
            "200 OK",
            &[("Content-Type", "application/octet-stream")],
            &body,
        )
    }
}
