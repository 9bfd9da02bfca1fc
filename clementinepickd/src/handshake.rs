//! How the two ends of a link prove that they hold a key of the deployment.
//!
//! The end that connects sends [`Hello`], the other answers with [`Challenge`] and its proof, the
//! first sends [`Proof`], and the other [`Welcome`]. A proof is an HMAC-SHA-256 over the prover's side, both nonces and both
//! peers. A recorded proof is worth nothing, since each end draws a new nonce for each link; a
//! proof can't be reflected, since it names the side; and neither end can be passed off as another
//! VM or life, since the peers are bound in.
//!
//! Each end proves with every key it holds and accepts any it knows, so keys are rotated by giving
//! all processes both keys, one by one, and then taking the old one away, one by one.

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
/// The most proofs that are looked at.
const MAX_PROOFS: usize = 2;

/// A random number that is used once.
pub type Nonce = [u8; 32];

/// The first frame, from the end that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// Drawn for this link.
    pub nonce: Nonce,
    /// Who connects.
    pub peer: Peer,
}

impl Hello {
    /// The first frame of `peer`.
    #[must_use]
    pub fn new(nonce: Nonce, peer: Peer) -> Self {
        Self {
            version: VERSION,
            nonce,
            peer,
        }
    }
}

/// The second frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Drawn for this link.
    pub nonce: Nonce,
    /// Who was connected to.
    pub peer: Peer,
    /// Its proof.
    pub proof: Proof,
}

/// An HMAC for each key that the prover holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The HMACs.
    pub macs: Vec<[u8; 32]>,
}

/// The last frame, from the end that was connected to: messages may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Side {
    /// It connected.
    Connecting,
    /// It was connected to.
    Accepting,
}

/// What both ends prove to have seen.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Transcript<'a> {
    /// The nonce of the end that connected.
    pub connecting_nonce: &'a Nonce,
    /// That end.
    pub connecting: &'a Peer,
    /// The nonce of the end that was connected to.
    pub accepting_nonce: &'a Nonce,
    /// That end.
    pub accepting: &'a Peer,
}

/// A handshake that came to nothing.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer holds no key that is known here.
    #[error("the peer holds no key that is known here")]
    WrongKey,
    /// The peer speaks another version.
    #[error("the peer speaks version {0}, not {VERSION}")]
    OtherVersion(u16),
    /// Another VM answered at this address.
    #[error("`{0}` answered at this address")]
    OtherVm(clementinepick::ids::VmId),
    /// A sidecar takes links of entries only.
    #[error("`{0}` is no entry")]
    NoEntry(clementinepick::ids::VmId),
    /// The peer sent no frame of the handshake.
    #[error("no frame of the handshake: {0}")]
    BadFrame(String),
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
    /// It took too long.
    #[error("took too long")]
    Timeout,
}

impl HandshakeError {
    /// Whether an operator has to look at keys or addresses.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        match self {
            Self::WrongKey
            | Self::OtherVersion(_)
            | Self::OtherVm(_)
            | Self::NoEntry(_)
            | Self::BadFrame(_) => true,
            Self::Broken(_) | Self::Timeout => false,
        }
    }
}

/// Proves that `keys` are held on `side`.
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
/// [`HandshakeError::WrongKey`] when no HMAC fits a key held here.
pub fn verify(
    keys: &LinkKeys,
    side: Side,
    transcript: &Transcript<'_>,
    proof: &Proof,
) -> Result<(), HandshakeError> {
    let text = encode(&(side, transcript));
    let all = std::iter::once(&keys.current).chain(&keys.previous);
    let known = all.flat_map(|key| {
        let claimed = proof.macs.iter().take(MAX_PROOFS);
        claimed.map(|claim| mac(key.as_bytes(), &text).verify_slice(claim).is_ok())
    });
    if known.fold(false, |any, fits| any | fits) {
        Ok(())
    } else {
        Err(HandshakeError::WrongKey)
    }
}

/// Checks the version of a first frame.
///
/// # Errors
///
/// [`HandshakeError::OtherVersion`].
pub const fn check_version(hello: &Hello) -> Result<(), HandshakeError> {
    if hello.version == VERSION {
        Ok(())
    } else {
        Err(HandshakeError::OtherVersion(hello.version))
    }
}

fn mac(key: &[u8], text: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(text);
    mac
}

/// One CBOR item.
///
/// # Panics
///
/// Never: a vector takes all bytes, and what is sent here has a form in CBOR.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("a vector takes all bytes");
    bytes
}

/// Reads one CBOR item that fills `bytes`.
///
/// # Errors
///
/// What is wrong with it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HandshakeError> {
    let mut rest = bytes;
    let value = from_reader(&mut rest);
    let value = value.map_err(|err| HandshakeError::BadFrame(err.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(HandshakeError::BadFrame("bytes follow the item".to_owned()))
    }
}
