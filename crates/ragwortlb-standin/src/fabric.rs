/*!
Stand-in for the fabric, which distributes messages over the instances.

It polls the readiness of each instance and picks a random ready one for each message,
without flow affinity.
*/

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ragwortlb_rpc::{MAX_MESSAGE_BYTES, generated::call_client::CallClient};
use rand::RngExt;
use tokio::task::JoinHandle;
use tonic::transport::{Channel, Endpoint};

/// Time between readiness checks of an instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which an instance must answer a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which an instance must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of one instance.
pub type Client = CallClient<Channel>;

struct Instance {
    call: SocketAddr,
    client: Client,
    is_ready: bool,
    is_partitioned: bool,
    check: JoinHandle<()>,
}

/// Fabric in front of a set of instances.
#[derive(Clone, Default)]
pub struct Fabric {
    instances: Arc<Mutex<Vec<Instance>>>,
}

impl Fabric {
    /// Adds an instance by its addresses for customers and for operators. Must be called
    /// within a Tokio runtime.
    pub fn add(&self, call: SocketAddr, operators: SocketAddr) {
        let endpoint = Endpoint::from_shared(format!("http://{call}")).expect("an address makes a URL");
        let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy();
        let client = CallClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let check = tokio::spawn(check(self.clone(), call, operators));
        let instance = Instance { call, client, is_ready: false, is_partitioned: false, check };
        self.lock().push(instance);
    }

    /// Removes an instance.
    pub fn remove(&self, call: SocketAddr) {
        self.lock().retain(|instance| {
            if instance.call == call {
                instance.check.abort();
            }
            instance.call != call
        });
    }

    /// Stops sending messages to an instance, or resumes.
    pub fn partition(&self, call: SocketAddr, is_partitioned: bool) {
        for instance in self.lock().iter_mut().filter(|instance| instance.call == call) {
            instance.is_partitioned = is_partitioned;
        }
    }

    /// Client of a random ready instance; `None` if there is none.
    pub fn pick(&self) -> Option<Client> {
        let instances = self.lock();
        let ready: Vec<&Instance> =
            instances.iter().filter(|instance| instance.is_ready && !instance.is_partitioned).collect();
        if ready.is_empty() {
            return None;
        }
        Some(ready[rand::rng().random_range(0..ready.len())].client.clone())
    }

    /// Number of instances that are ready.
    pub fn ready(&self) -> usize {
        self.lock().iter().filter(|instance| instance.is_ready).count()
    }

    /// Waits until `count` instances are ready. Returns false if that takes longer than
    /// `limit`.
    pub async fn wait_ready(&self, count: usize, limit: Duration) -> bool {
        let until = tokio::time::Instant::now() + limit;
        while self.ready() < count {
            if tokio::time::Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        true
    }

    fn set_ready(&self, call: SocketAddr, is_ready: bool) {
        for instance in self.lock().iter_mut().filter(|instance| instance.call == call) {
            instance.is_ready = is_ready;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn check(fabric: Fabric, call: SocketAddr, operators: SocketAddr) {
    let client = reqwest::Client::builder().no_proxy().timeout(CHECK_TIMEOUT).build();
    let Ok(client) = client else {
        return;
    };
    loop {
        let answer = client.get(format!("http://{operators}/v1/ready")).send().await;
        fabric.set_ready(call, answer.is_ok_and(|answer| answer.status().is_success()));
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
