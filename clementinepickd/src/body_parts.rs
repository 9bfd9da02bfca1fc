//! Holds the body of a request in parts, whose memory it shares with their other owners.

use std::rc::Rc;

use bytes::Bytes;

/// A body in parts.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyParts(Rc<[Bytes]>);

impl BodyParts {
    /// Returns the number of bytes of all parts.
    pub(crate) fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.0.iter()
    }
}

impl From<Bytes> for BodyParts {
    fn from(body: Bytes) -> Self {
        Self(Rc::new([body]))
    }
}

impl From<Vec<Bytes>> for BodyParts {
    fn from(parts: Vec<Bytes>) -> Self {
        Self(parts.into())
    }
}
