//! The call plane: requests from callers and frames from peers, by gRPC.

use std::sync::Arc;

use ragwortlb::{
    node::{Event, Ticket},
    wire::{Frame, Outcome},
};
use ragwortlb_rpc::{
    MAX_MESSAGE_BYTES,
    call::{self, Call},
    generated::{self, call_server, peer_server},
    trace,
};
use tonic::{Request, Response, Status};

use crate::{core::Driver, spans::Span};

/// Takes callers' requests.
#[derive(Clone)]
pub struct Calls {
    driver: Arc<Driver>,
}

impl Calls {
    /// Service for callers.
    pub fn server(driver: Arc<Driver>) -> call_server::CallServer<Calls> {
        call_server::CallServer::new(Calls { driver })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// Cancels a request when its caller goes away.
struct Guard {
    driver: Arc<Driver>,
    ticket: Ticket,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.driver.forget(self.ticket);
    }
}

#[tonic::async_trait]
impl call_server::Call for Calls {
    async fn run(&self, request: Request<generated::Request>) -> Result<Response<generated::Answer>, Status> {
        let parent = trace::extract(request.metadata());
        let span = Span::start("instance", &parent);
        let message = request.into_inner();
        let checked =
            Call::try_from(&message).map_err(|error| Status::invalid_argument(error.to_string()))?;
        span.set("service", &message.address);
        let (ticket, outcome) = self.driver.wait_for(message.clone(), span.context().clone());
        let guard = Guard { driver: self.driver.clone(), ticket };
        self.driver.handle(Event::Request(checked.with_ticket(ticket)));
        let outcome = outcome.await.unwrap_or_else(|_| Outcome::Unknown("the instance stopped".into()));
        drop(guard);
        Ok(Response::new(call::answer(&message, outcome)))
    }
}

/// Takes peers' frames.
#[derive(Clone)]
pub struct Peers {
    driver: Arc<Driver>,
}

impl Peers {
    /// Service for peers.
    pub fn server(driver: Arc<Driver>) -> peer_server::PeerServer<Peers> {
        peer_server::PeerServer::new(Peers { driver }).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl peer_server::Peer for Peers {
    async fn exchange(
        &self,
        request: Request<generated::Frame>,
    ) -> Result<Response<generated::Received>, Status> {
        let content = request.into_inner().content;
        match Frame::from_bytes(&content) {
            Ok(frame) => {
                self.driver.handle(Event::Frame(frame));
                Ok(Response::new(generated::Received {}))
            }
            Err(error) => {
                log::warn!("E405 refused a frame: {error}");
                Err(Status::invalid_argument(error.to_string()))
            }
        }
    }
}
