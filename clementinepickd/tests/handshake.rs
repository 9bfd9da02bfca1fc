//! Proofs of the link handshake: which are accepted and which are refused.

use clementinepick::ids::Incarnation;
use clementinepick::message::Peer;
use clementinepick::platform::VmRole;
use clementinepickd::handshake::{HandshakeError, Nonce, Proof, Side, Transcript, prove, verify};
use clementinepickd::settings::{LinkKey, LinkKeys};

const OLD_KEY: &str = "the old key, 16 characters or more";
const NEW_KEY: &str = "the new key, 16 characters or more";

fn keys(current: &str, previous: Option<&str>) -> LinkKeys {
    LinkKeys {
        current: LinkKey::new(current).expect("a key of valid length"),
        previous: previous.and_then(LinkKey::new),
    }
}

fn peer(vm: &str, role: VmRole, incarnation: u64) -> Peer {
    Peer {
        vm: vm.parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        role,
        zone: "kinigi-room".parse().expect("a valid name"),
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

    fn accepts(&self, keys: &LinkKeys, proof: &Proof) -> bool {
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
    let proof = handshake.prove(&keys(OLD_KEY, None));
    assert!(handshake.accepts(&keys(OLD_KEY, None), &proof));
    assert!(!handshake.accepts(&keys(NEW_KEY, None), &proof));
    assert!(!handshake.accepts(&keys(OLD_KEY, None), &Proof { macs: Vec::new() }));
}

// Keys are rotated process by process: old alone, then new and old, then new alone. If any two
// processes did not accept each other at some step, their link would be refused.
#[test]
fn any_two_processes_accept_each_other_during_a_key_rotation() {
    let old = keys(OLD_KEY, None);
    let both = keys(NEW_KEY, Some(OLD_KEY));
    let new = keys(NEW_KEY, None);
    let handshake = Handshake::new((1, 2));
    for (prover, verifier) in [(&old, &both), (&both, &old), (&both, &new), (&new, &both)] {
        assert!(handshake.accepts(verifier, &handshake.prove(prover)));
    }
    assert!(!handshake.accepts(&old, &handshake.prove(&new)));
}

// Guards against replay: a recorded proof does not match the nonces of another link.
#[test]
fn a_replayed_proof_is_refused() {
    let keys = keys(OLD_KEY, None);
    let proof = Handshake::new((1, 2)).prove(&keys);
    assert!(!Handshake::new((1, 3)).accepts(&keys, &proof));
    assert!(!Handshake::new((3, 2)).accepts(&keys, &proof));
}

// Guards against reflection: a process's own proof, sent back to it, names the wrong side.
#[test]
fn a_reflected_proof_is_refused() {
    let keys = keys(OLD_KEY, None);
    let handshake = Handshake::new((1, 2));
    let proof = prove(&keys, Side::Accepting, &handshake.transcript());
    assert!(!handshake.accepts(&keys, &proof));
}

// Guards against impersonation: the proof covers the peer's VM, role and incarnation.
#[test]
fn a_proof_is_valid_for_one_peer_only() {
    let keys = keys(OLD_KEY, None);
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
        assert!(!other.accepts(&keys, &proof));
    }
}
