//! Starts and stops the parts of one instance: driver, gRPC servers, operators' HTTP and
//! background tasks.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use ragwortlb::{
    Error,
    node::{self, Event, Node},
};
use ragwortlb_rpc::store::{Store, http::HttpStore};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tonic::{
    service::Routes,
    transport::{Server, server::TcpIncoming},
};

use crate::{
    core::Driver, links::GrpcTransport, operators, plane, reader, runner::GrpcRunner, settings::Settings,
};

/// Time that a server has to close its connections after all requests are answered.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Running instance.
pub struct Daemon {
    driver: Arc<Driver>,
    close: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
    operators: dropshot::HttpServer<operators::Context>,
}

impl Daemon {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the store client cannot be created.
    pub async fn start(settings: &Settings) -> Result<Daemon, Error> {
        let store: Arc<dyn Store> = Arc::new(HttpStore::new(&settings.store)?);
        let transport = Arc::new(GrpcTransport::new(settings.name.clone(), settings.control_bytes_per_s));
        let node = Node::new(node_settings(settings));
        let driver = Driver::new(node, transport, Box::new(GrpcRunner::default()));
        let close = watch::Sender::new(false);
        let calls = Routes::new(plane::CallService::server(driver.clone()));
        let peers = Routes::new(plane::PeerService::server(driver.clone()));
        let servers = vec![
            serve(settings.call_address, calls, close.subscribe()).await?,
            serve(settings.peer_address, peers, close.subscribe()).await?,
        ];
        let operators = operators::serve(driver.clone(), settings.operator_address)?;
        let tasks = vec![
            tokio::spawn(tick(driver.clone(), Duration::from_millis(settings.tick_ms))),
            tokio::spawn(reader::follow(driver.clone(), store, Duration::from_millis(settings.poll_ms))),
        ];
        Ok(Daemon { driver, close, servers, tasks, operators })
    }

    /// Driver of the node.
    pub fn driver(&self) -> &Arc<Driver> {
        &self.driver
    }

    /// Shuts down gracefully: hands over flows, answers all pending requests, and closes.
    ///
    /// # Errors
    ///
    /// The operators' HTTP did not close.
    pub async fn stop(self) -> Result<(), Error> {
        self.driver.handle(Event::Drain);
        self.finish().await
    }

    /// Waits until the node has handed over its flows, then closes the servers.
    ///
    /// # Errors
    ///
    /// The operators' HTTP did not close.
    pub async fn finish(self) -> Result<(), Error> {
        self.driver.stopped().await;
        self.close.send_replace(true);
        for server in self.servers {
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, server).await;
        }
        for task in self.tasks {
            task.abort();
        }
        self.operators.close().await.map_err(|error| Error::new("close the operators' HTTP", error))
    }
}

fn node_settings(settings: &Settings) -> node::Settings {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    node::Settings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised_address.unwrap_or(settings.peer_address),
        peers: settings.peers.clone(),
        incarnation: since_epoch.as_millis() as u64,
        seed: since_epoch.as_nanos() as u64,
        max_flows: settings.max_flows,
        max_requests: settings.max_requests,
        ask_ms: settings.ask_ms,
        leave_ms: settings.leave_ms,
        hand_over_ms: settings.hand_over_ms,
        ..node::Settings::default()
    }
}

async fn tick(driver: Arc<Driver>, time: Duration) {
    let mut interval = tokio::time::interval(time);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        driver.handle(Event::Tick);
    }
}

async fn serve(
    address: SocketAddr,
    routes: Routes,
    mut close: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| Error::new("bind an address", error.to_string()).with_peer(address.to_string()))?;
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let closed = async move {
        let _ = close.wait_for(|close| *close).await;
    };
    Ok(tokio::spawn(async move {
        let served =
            Server::builder().add_routes(routes).serve_with_incoming_shutdown(incoming, closed).await;
        if let Err(error) = served {
            log::error!("E602 gRPC server failed: {error}");
        }
    }))
}
