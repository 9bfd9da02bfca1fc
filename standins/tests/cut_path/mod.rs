//! A path between an entry and a sidecar that can be cut in one direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Which way nothing arrives any more.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    ToSidecar,
    ToEntry,
}

/// The two directions of one connection; true once it is cut.
#[derive(Clone, Default)]
struct Cuts {
    to_sidecar: Arc<AtomicBool>,
    to_entry: Arc<AtomicBool>,
}

/// A path that takes connections and passes their bytes on.
///
/// Its threads end with the connections; the one that listens ends with the test's process.
pub struct CutPath {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    cuts: Arc<Mutex<Vec<Cuts>>>,
}

impl CutPath {
    /// A path to `target`.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let path = Self {
            address: listener.local_addr().expect("an address"),
            connections: Arc::default(),
            cuts: Arc::default(),
        };
        let (connections, cuts) = (Arc::clone(&path.connections), Arc::clone(&path.cuts));
        thread::spawn(move || {
            for entry in listener.incoming().flatten() {
                let Ok(sidecar) = TcpStream::connect(target) else {
                    continue;
                };
                let cut = Cuts::default();
                cuts.lock().expect("no panic").push(cut.clone());
                connections.fetch_add(1, Ordering::Relaxed);
                join(&entry, &sidecar, cut.to_sidecar);
                join(&sidecar, &entry, cut.to_entry);
            }
        });
        path
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many it has taken.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Cuts the connections of now; later ones are whole.
    pub fn cut(&self, direction: Direction) {
        for cut in self.cuts.lock().expect("no panic").iter() {
            let cut = match direction {
                Direction::ToSidecar => &cut.to_sidecar,
                Direction::ToEntry => &cut.to_entry,
            };
            cut.store(true, Ordering::Relaxed);
        }
    }
}

/// Passes bytes on until an end closes, or swallows them once the direction is cut.
fn join(from: &TcpStream, to: &TcpStream, cut: Arc<AtomicBool>) {
    let (mut from, mut to) = (
        from.try_clone().expect("a copy"),
        to.try_clone().expect("a copy"),
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
