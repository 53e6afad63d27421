/*!
Stand-in for the network between instances, in which availability zones can be
partitioned off.

Each instance has a port at the switch, and peers send to that port. The switch reads
the sender of a frame, and rejects a frame between two zones if either of them is
partitioned off.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};

use ragwortlb::{Error, wire::Frame};
use ragwortlb_rpc::{
    MAX_MESSAGE_BYTES,
    generated::{self, peer_client::PeerClient, peer_server},
};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server, server::TcpIncoming},
};

/// Zones by instance, and the zones that are partitioned off.
#[derive(Debug, Default)]
struct Topology {
    zones: BTreeMap<String, String>,
    partition: BTreeSet<String>,
}

/// Network between instances.
#[derive(Clone, Debug, Default)]
pub struct Switch {
    topology: Arc<Mutex<Topology>>,
}

impl Switch {
    /// Adds an instance that receives frames at `bound`. Returns the address of its port
    /// at the switch. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// No free port is available.
    pub fn add(&self, name: &str, zone: &str, bound: SocketAddr) -> Result<SocketAddr, Error> {
        const STEP: &str = "add a port to the switch";
        let fail = |error: std::io::Error| Error::new(STEP, error.to_string());
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(fail)?;
        let port = listener.local_addr().map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(fail)?;
        self.lock().zones.insert(name.to_owned(), zone.to_owned());
        let endpoint = Endpoint::from_shared(format!("http://{bound}"))
            .map_err(|error| Error::new(STEP, error.to_string()))?;
        let client = PeerClient::new(endpoint.tcp_nodelay(true).connect_lazy())
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let forwarder = Forwarder { switch: self.clone(), zone: zone.to_owned(), client };
        let server = peer_server::PeerServer::new(forwarder).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        tokio::spawn(async move {
            let _ = Server::builder().add_service(server).serve_with_incoming(incoming).await;
        });
        Ok(port)
    }

    /// Partitions an availability zone off from all others, or reconnects it.
    pub fn partition(&self, zone: &str, is_partitioned: bool) {
        let mut topology = self.lock();
        if is_partitioned {
            topology.partition.insert(zone.to_owned());
        } else {
            topology.partition.remove(zone);
        }
    }

    fn allows(&self, sender: &str, to_zone: &str) -> bool {
        let map = self.lock();
        let from_zone = map.zones.get(sender).map(String::as_str).unwrap_or_default();
        from_zone == to_zone || !(map.partition.contains(from_zone) || map.partition.contains(to_zone))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Topology> {
        self.topology.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards frames to one instance.
struct Forwarder {
    switch: Switch,
    zone: String,
    client: PeerClient<Channel>,
}

#[tonic::async_trait]
impl peer_server::Peer for Forwarder {
    async fn exchange(
        &self,
        request: Request<generated::Frame>,
    ) -> Result<Response<generated::Received>, Status> {
        let frame = request.into_inner();
        let sender = Frame::from_bytes(&frame.content).map(|frame| frame.sender);
        let sender = sender.map_err(|error| Status::invalid_argument(error.to_string()))?;
        if !self.switch.allows(&sender, &self.zone) {
            return Err(Status::unavailable("the zones are partitioned"));
        }
        self.client.clone().exchange(frame).await
    }
}
