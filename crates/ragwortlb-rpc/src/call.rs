/*!
Converts gRPC requests and answers from and to the library's types.

A request is validated before the library sees it, and an answer is matched with
its request. An answer that is truncated or belongs to another request counts as
lost, because the request may have run.
*/

use std::{net::SocketAddr, sync::Arc};

use ragwortlb::{
    Error,
    node::{Answer, Request, Ticket},
    wire::Outcome,
};
use tonic::{Code, Status};

use crate::generated;

/// Maximum length of a flow's key, in bytes.
pub const MAX_FLOW_BYTES: usize = 256;

/// Hash of a flow's key.
pub fn flow_hash(key: &str) -> u64 {
    ragwortlb::route::flow::key_hash(key.as_bytes())
}

impl TryFrom<&generated::Request> for Call {
    type Error = Error;

    fn try_from(request: &generated::Request) -> Result<Call, Error> {
        let fail = |what: String| Error::new("read a request", what);
        let address: SocketAddr = request
            .address
            .parse()
            .map_err(|_| fail(format!("{:?} is not an IP address with a port", request.address)))?;
        if request.flow.is_empty() || request.flow.len() > MAX_FLOW_BYTES {
            return Err(fail(format!(
                "a flow's key has 1 to {MAX_FLOW_BYTES} bytes, not {}",
                request.flow.len()
            )));
        }
        if request.attempt == 0 {
            return Err(fail("the attempt number is 0, but attempts count from 1".to_owned()));
        }
        Ok(Call {
            address,
            flow: flow_hash(&request.flow),
            number: request.number,
            attempt: request.attempt,
            first: request.first,
            last: request.last,
            left_ms: (request.left_ms > 0).then_some(request.left_ms),
            idempotent: request.idempotent,
        })
    }
}

/// Validated request without a correlation id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service address.
    pub address: SocketAddr,
    /// Hash of the flow's key.
    pub flow: u64,
    /// Sequence number in its flow.
    pub number: u64,
    /// Attempt number, from one.
    pub attempt: u32,
    /// Whether it opens the flow.
    pub first: bool,
    /// Whether it ends the flow.
    pub last: bool,
    /// Time until the deadline, in milliseconds; absent for the service's default.
    pub left_ms: Option<u64>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

impl Call {
    /// Request for the library with the host program's correlation id.
    pub fn with_ticket(self, ticket: Ticket) -> Request {
        Request {
            ticket,
            address: self.address,
            flow: self.flow,
            number: self.number,
            attempt: self.attempt,
            first: self.first,
            last: self.last,
            left_ms: self.left_ms,
            idempotent: self.idempotent,
        }
    }
}

/// Builds the gRPC answer to a request from its outcome.
pub fn answer(request: &generated::Request, outcome: Outcome) -> generated::Answer {
    let (outcome, length) = match outcome {
        Outcome::Done(body) => (generated::answer::Outcome::Done(body.to_vec()), body.len()),
        Outcome::Failed(what) => (generated::answer::Outcome::Failed(what.to_string()), 0),
        Outcome::NotRun(why) => (generated::answer::Outcome::NotRun(why.to_string()), 0),
        Outcome::Unknown(why) => (generated::answer::Outcome::Unknown(why.to_string()), 0),
    };
    generated::Answer {
        flow: request.flow.clone(),
        number: request.number,
        attempt: request.attempt,
        leaving: false,
        length: length as u64,
        outcome: Some(outcome),
    }
}

/// Converts a target's answer. It is [`Answer::Lost`] if it belongs to another
/// request or is truncated.
pub fn read_answer(request: &generated::Request, answer: generated::Answer) -> Answer {
    let of_request =
        answer.flow == request.flow && answer.number == request.number && answer.attempt == request.attempt;
    if !of_request {
        return Answer::Lost("the target's answer belongs to another request".into());
    }
    match answer.outcome {
        Some(generated::answer::Outcome::Done(body)) if body.len() as u64 != answer.length => {
            Answer::Lost("the target's answer is truncated".into())
        }
        Some(generated::answer::Outcome::Done(body)) => Answer::Done(body.into()),
        Some(generated::answer::Outcome::Failed(what)) => Answer::Failed(what.into()),
        Some(generated::answer::Outcome::NotRun(_)) => Answer::Shed,
        Some(generated::answer::Outcome::Unknown(what)) => Answer::Lost(what.into()),
        None => Answer::Lost("the target's answer has no outcome".into()),
    }
}

/// Converts a failed call to a target. Only a call that was never sent is
/// [`Answer::Unreachable`]: any other may have run.
pub fn read_failure(status: &Status, was_sent: bool) -> Answer {
    if !was_sent {
        return Answer::Unreachable;
    }
    match status.code() {
        Code::ResourceExhausted => Answer::Shed,
        code => Answer::Lost(Arc::from(format!("{code:?}: {}", status.message()))),
    }
}
