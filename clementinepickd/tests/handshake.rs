//! What the ends of a link take as proof of a key.

use clementinepick::ids::Incarnation;
use clementinepick::message::Peer;
use clementinepick::platform::VmRole;
use clementinepickd::handshake::{HandshakeError, Nonce, Proof, Side, Transcript, prove, verify};
use clementinepickd::settings::{LinkKey, LinkKeys};

const OLD: &str = "the old key, 16 characters or more";
const NEW: &str = "the new key, 16 characters or more";

fn keys(current: &str, previous: Option<&str>) -> LinkKeys {
    LinkKeys {
        current: LinkKey::new(current).expect("long enough"),
        previous: previous.and_then(LinkKey::new),
    }
}

fn peer(vm: &str, role: VmRole, incarnation: u64) -> Peer {
    Peer {
        vm: vm.parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        role,
        zone: "kinigi-room".parse().expect("a name"),
        service: None,
    }
}

/// A handshake between an entry that connects and a sidecar.
struct Handshake {
    entry: Peer,
    sidecar: Peer,
    nonces: (Nonce, Nonce),
}

impl Handshake {
    fn new(nonces: (u8, u8)) -> Self {
        Self {
            entry: peer("entry-a", VmRole::Entry, 7),
            sidecar: peer("sidecar-0", VmRole::Sidecar, 3),
            nonces: ([nonces.0; 32], [nonces.1; 32]),
        }
    }

    fn transcript(&self) -> Transcript<'_> {
        Transcript {
            connecting_nonce: &self.nonces.0,
            connecting: &self.entry,
            accepting_nonce: &self.nonces.1,
            accepting: &self.sidecar,
        }
    }

    fn prove(&self, keys: &LinkKeys) -> Proof {
        prove(keys, Side::Connecting, &self.transcript())
    }

    fn takes(&self, keys: &LinkKeys, proof: &Proof) -> bool {
        match verify(keys, Side::Connecting, &self.transcript(), proof) {
            Ok(()) => true,
            Err(HandshakeError::KeyMismatch) => false,
            Err(err) => panic!("{err}"),
        }
    }
}

#[test]
fn a_wrong_key_is_refused() {
    let handshake = Handshake::new((1, 2));
    let proof = handshake.prove(&keys(OLD, None));
    assert!(handshake.takes(&keys(OLD, None), &proof));
    assert!(!handshake.takes(&keys(NEW, None), &proof));
    assert!(!handshake.takes(&keys(OLD, None), &Proof { macs: Vec::new() }));
}

// Keys are rotated process by process: old alone, then new and old, then new alone. At every
// moment of both rollings any two processes must know each other, or a link would be refused.
#[test]
fn any_two_processes_know_each_other_during_a_rotation() {
    let old = keys(OLD, None);
    let both = keys(NEW, Some(OLD));
    let new = keys(NEW, None);
    let handshake = Handshake::new((1, 2));
    for (prover, verifier) in [(&old, &both), (&both, &old), (&both, &new), (&new, &both)] {
        assert!(handshake.takes(verifier, &handshake.prove(prover)));
    }
    assert!(!handshake.takes(&old, &handshake.prove(&new)));
}

// Someone records a proof and plays it back to open a link of its own. The end that was connected
// to has drawn another nonce, so the proof does not fit.
#[test]
fn a_replayed_proof_is_refused() {
    let keys = keys(OLD, None);
    let proof = Handshake::new((1, 2)).prove(&keys);
    assert!(!Handshake::new((1, 3)).takes(&keys, &proof));
    assert!(!Handshake::new((3, 2)).takes(&keys, &proof));
}

// Someone sends a process its own proof back, to seem to hold the key. The proof names its side.
#[test]
fn a_reflected_proof_is_refused() {
    let keys = keys(OLD, None);
    let handshake = Handshake::new((1, 2));
    let proof = prove(&keys, Side::Accepting, &handshake.transcript());
    assert!(!handshake.takes(&keys, &proof));
}

// A process that holds the key proves as one VM and claims to be another, or an earlier life of
// itself. The peers are bound into the proof.
#[test]
fn a_proof_stands_for_one_peer_only() {
    let keys = keys(OLD, None);
    let handshake = Handshake::new((1, 2));
    let proof = handshake.prove(&keys);
    for entry in [
        peer("entry-b", VmRole::Entry, 7),
        peer("entry-a", VmRole::Entry, 6),
        peer("entry-a", VmRole::Sidecar, 7),
    ] {
        let other = Handshake {
            entry,
            ..Handshake::new((1, 2))
        };
        assert!(!other.takes(&keys, &proof));
    }
}
