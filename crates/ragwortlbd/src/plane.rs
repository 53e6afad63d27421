//! gRPC services of an instance: requests from customers and frames from peers.

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

/// Service for requests of customers.
#[derive(Clone)]
pub struct CallService {
    driver: Arc<Driver>,
}

impl CallService {
    /// gRPC server of the service.
    pub fn server(driver: Arc<Driver>) -> call_server::CallServer<CallService> {
        call_server::CallServer::new(CallService { driver })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// Cancels a request when it is dropped, as tonic drops a handler whose customer has
/// disconnected.
struct CancelOnDrop {
    driver: Arc<Driver>,
    ticket: Ticket,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.driver.cancel_request(self.ticket);
    }
}

#[tonic::async_trait]
impl call_server::Call for CallService {
    async fn run(&self, request: Request<generated::Request>) -> Result<Response<generated::Answer>, Status> {
        let parent = trace::extract(request.metadata());
        let span = Span::start("instance", &parent);
        let message = request.into_inner();
        let checked =
            Call::try_from(&message).map_err(|error| Status::invalid_argument(error.to_string()))?;
        span.set("service", &message.address);
        let (ticket, outcome) = self.driver.add_request(message.clone(), span.context().clone());
        let cancel_on_drop = CancelOnDrop { driver: self.driver.clone(), ticket };
        self.driver.handle(Event::Request(checked.with_ticket(ticket)));
        let outcome = outcome.await.unwrap_or_else(|_| Outcome::Unknown("the instance stopped".into()));
        drop(cancel_on_drop);
        Ok(Response::new(call::answer(&message, outcome)))
    }
}

/// Service for frames of peers.
#[derive(Clone)]
pub struct PeerService {
    driver: Arc<Driver>,
}

impl PeerService {
    /// gRPC server of the service.
    pub fn server(driver: Arc<Driver>) -> peer_server::PeerServer<PeerService> {
        peer_server::PeerServer::new(PeerService { driver }).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl peer_server::Peer for PeerService {
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
                log::warn!("E405 rejected a frame of a peer: {error}");
                Err(Status::invalid_argument(error.to_string()))
            }
        }
    }
}
