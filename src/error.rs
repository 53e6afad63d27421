//! Error type of the crate.

use std::{fmt, sync::Arc};

/// Failure of a step, with the peer concerned if there is one.
///
/// Displayed as `cannot STEP at PEER: MESSAGE`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: Option<Arc<str>>,
    message: String,
}

impl Error {
    /// Creates an error; `step` is a verb phrase such as "read a filter".
    pub fn new(step: &'static str, message: impl Into<String>) -> Error {
        Error { step, peer: None, message: message.into() }
    }

    /// Sets the peer concerned.
    pub fn with_peer(mut self, peer: impl Into<Arc<str>>) -> Error {
        self.peer = Some(peer.into());
        self
    }

    /// Step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Peer concerned.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot {}", self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " at {peer}")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Error {}
