//! Provides a TCP proxy between entries and a sidecar that can drop the traffic of one direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The direction in which bytes are dropped.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    ToSidecar,
    ToEntry,
}

/// For each direction of one connection, whether its bytes are dropped.
#[derive(Clone, Default)]
struct CutFlags {
    to_sidecar: Arc<AtomicBool>,
    to_entry: Arc<AtomicBool>,
}

/// A TCP proxy that forwards the bytes of its connections. Its forwarding threads end with their
/// connections, the listening thread with the process of the test.
pub struct CutPath {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    cut_flags: Arc<Mutex<Vec<CutFlags>>>,
}

impl CutPath {
    /// Starts a proxy to `target` on a free port.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let path = Self {
            address: listener.local_addr().expect("an address"),
            connections: Arc::default(),
            cut_flags: Arc::default(),
        };
        let (connections, cut_flags) = (Arc::clone(&path.connections), Arc::clone(&path.cut_flags));
        thread::spawn(move || {
            for entry in listener.incoming().flatten() {
                let Ok(sidecar) = TcpStream::connect(target) else {
                    continue;
                };
                let cut = CutFlags::default();
                cut_flags.lock().expect("no panic").push(cut.clone());
                connections.fetch_add(1, Ordering::Relaxed);
                forward(&entry, &sidecar, cut.to_sidecar);
                forward(&sidecar, &entry, cut.to_entry);
            }
        });
        path
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections it has accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Drops the bytes of one direction on all connections accepted so far; later ones are not
    /// affected.
    pub fn cut(&self, direction: Direction) {
        for cut in self.cut_flags.lock().expect("no panic").iter() {
            let cut = match direction {
                Direction::ToSidecar => &cut.to_sidecar,
                Direction::ToEntry => &cut.to_entry,
            };
            cut.store(true, Ordering::Relaxed);
        }
    }
}

/// Forwards bytes until either end closes; drops them once the direction is cut.
fn forward(from: &TcpStream, to: &TcpStream, cut: Arc<AtomicBool>) {
    let (mut from, mut to) = (
        from.try_clone().expect("a cloned socket"),
        to.try_clone().expect("a cloned socket"),
    );
    thread::spawn(move || {
        let mut bytes = [0; 16_384];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            if !cut.load(Ordering::Relaxed) && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
