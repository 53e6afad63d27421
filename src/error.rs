//! The crate's error: what failed, in which step, and against which peer.

use std::{fmt, sync::Arc};

/// Failure with the step and the peer at which it arose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    step: &'static str,
    peer: Option<Arc<str>>,
    message: String,
}

impl Error {
    /// Failure of a step.
    pub fn new(step: &'static str, message: impl Into<String>) -> Error {
        Error { step, peer: None, message: message.into() }
    }

    /// Names the peer at which it arose.
    pub fn with_peer(mut self, peer: impl Into<Arc<str>>) -> Error {
        self.peer = Some(peer.into());
        self
    }

    /// Step at which it arose.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Peer at which it arose.
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
