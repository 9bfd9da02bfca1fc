//! Authenticates the two ends of a link by a shared key of the deployment.
//!
//! The connecting end sends [`Hello`], the accepting end replies with [`Challenge`], which includes
//! its proof, the connecting end sends [`Proof`], and the accepting end sends [`Welcome`]. A proof
//! is an HMAC-SHA-256 over the prover's side, both nonces and both peers. Replay fails because each
//! end draws a new nonce for each link; reflection fails because the proof names the side; and
//! neither end can be taken for another VM or incarnation because the proof covers both peers.
//!
//! Each end proves with every key it holds and accepts any of them. To rotate keys, first give all
//! processes both keys, one by one, then remove the old key, one by one.

use ciborium::{from_reader, into_writer};
use clementinepick::message::Peer;
use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::settings::LinkKeys;

/// The version of the handshake and of the messages after it.
const VERSION: u16 = 1;
/// The maximum number of HMACs that are checked.
const MAX_MACS: usize = 2;

/// Random bytes that are used for one link only.
pub type Nonce = [u8; 32];

/// The first frame, from the connecting end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// Drawn for this link.
    pub nonce: Nonce,
    /// The connecting end.
    pub peer: Peer,
}

impl Hello {
    /// Creates the first frame of `peer`.
    #[must_use]
    pub fn new(nonce: Nonce, peer: Peer) -> Self {
        Self {
            version: VERSION,
            nonce,
            peer,
        }
    }
}

/// The second frame, from the accepting end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Drawn for this link.
    pub nonce: Nonce,
    /// The accepting end.
    pub peer: Peer,
    /// The proof of the accepting end.
    pub proof: Proof,
}

/// An HMAC for each key that the prover holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// One HMAC per key, the current key first.
    pub macs: Vec<[u8; 32]>,
}

/// The last frame, from the accepting end; messages follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Side {
    /// The end that opened the connection.
    Connecting,
    /// The end that accepted the connection.
    Accepting,
}

/// The values that a proof covers.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Transcript<'a> {
    /// The nonce of the connecting end.
    pub connecting_nonce: &'a Nonce,
    /// The connecting end.
    pub connecting: &'a Peer,
    /// The nonce of the accepting end.
    pub accepting_nonce: &'a Nonce,
    /// The accepting end.
    pub accepting: &'a Peer,
}

/// An error that ends a handshake.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// No HMAC of the peer matches a key of this process.
    #[error("the peer's proof matches no link key of this process")]
    KeyMismatch,
    /// The peer uses another version of the protocol.
    #[error("the peer uses link protocol version {0}, expected {VERSION}")]
    VersionMismatch(u16),
    /// The address belongs to another VM.
    #[error("the address belongs to VM `{0}`, not to the expected peer")]
    UnexpectedVm(clementinepick::ids::VmId),
    /// A sidecar accepts links from entries only.
    #[error("VM `{0}` is not an entry; sidecars accept links from entries only")]
    NotAnEntry(clementinepick::ids::VmId),
    /// The peer sent a frame that can't be decoded.
    #[error("invalid frame: {0}")]
    InvalidFrame(String),
    /// The connection failed.
    #[error("connection failed: {0}")]
    ConnectionFailed(String),
    /// The handshake did not finish within its timeout.
    #[error("the handshake timed out")]
    Timeout,
}

impl HandshakeError {
    /// Returns whether the peer was refused, so that an operator has to check keys or addresses.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        match self {
            Self::KeyMismatch
            | Self::VersionMismatch(_)
            | Self::UnexpectedVm(_)
            | Self::NotAnEntry(_)
            | Self::InvalidFrame(_) => true,
            Self::ConnectionFailed(_) | Self::Timeout => false,
        }
    }
}

/// Computes the proof of `side` with each of `keys`.
#[must_use]
pub fn prove(keys: &LinkKeys, side: Side, transcript: &Transcript<'_>) -> Proof {
    let text = encode(&(side, transcript));
    let all = std::iter::once(&keys.current).chain(&keys.previous);
    let macs = all
        .map(|key| mac(key.as_bytes(), &text).finalize().into_bytes().into())
        .collect();
    Proof { macs }
}

/// Checks the proof of the peer on `side`.
///
/// # Errors
///
/// Returns an error when no HMAC matches one of `keys`.
pub fn verify(
    keys: &LinkKeys,
    side: Side,
    transcript: &Transcript<'_>,
    proof: &Proof,
) -> Result<(), HandshakeError> {
    let text = encode(&(side, transcript));
    let all = std::iter::once(&keys.current).chain(&keys.previous);
    let known = all.flat_map(|key| {
        let claimed = proof.macs.iter().take(MAX_MACS);
        claimed.map(|claim| mac(key.as_bytes(), &text).verify_slice(claim).is_ok())
    });
    if known.fold(false, |any, matches| any | matches) {
        Ok(())
    } else {
        Err(HandshakeError::KeyMismatch)
    }
}

/// Checks the protocol version of a first frame.
///
/// # Errors
///
/// Returns an error when the peer uses another version.
pub const fn check_version(hello: &Hello) -> Result<(), HandshakeError> {
    if hello.version == VERSION {
        Ok(())
    } else {
        Err(HandshakeError::VersionMismatch(hello.version))
    }
}

fn mac(key: &[u8], text: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(text);
    mac
}

/// Encodes a value as one CBOR item.
///
/// # Panics
///
/// Never in practice: writing to a vector does not fail, and all types sent here can be encoded.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("writing to a vector does not fail");
    bytes
}

/// Decodes one CBOR item that must take up all of `bytes`.
///
/// # Errors
///
/// Returns an error when `bytes` is no such item or more bytes follow it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HandshakeError> {
    let mut rest = bytes;
    let value = from_reader(&mut rest);
    let value = value.map_err(|err| HandshakeError::InvalidFrame(err.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(HandshakeError::InvalidFrame(
            "trailing bytes after the CBOR item".to_owned(),
        ))
    }
}
