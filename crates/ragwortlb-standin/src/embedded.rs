//! Runs the whole system in one process: a store, targets and instances on loopback ports.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use ragwortlb::{Error, config::Folder};
use ragwortlb_rpc::store::{
    accept::{self, Accepted},
    fetch,
    http::HttpStore,
};
use ragwortlbd::{daemon::Daemon, settings::Settings};

use crate::{fabric::Fabric, ports, site::Site, store, target::Target};

/// Time in which instances must become ready or make a revision effective.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Instance and its addresses.
struct Member {
    daemon: Daemon,
    zone: String,
    call: SocketAddr,
    peer: SocketAddr,
}

/// Store, targets and instances.
pub struct Embedded {
    store: dropshot::HttpServer<Arc<store::Context>>,
    store_url: String,
    targets: BTreeMap<String, Arc<Target>>,
    members: Vec<Member>,
    started: usize,
    /// Fabric in front of the instances.
    pub fabric: Fabric,
}

impl Embedded {
    /// Starts the store and the targets of a site.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(site: &Site) -> Result<Embedded, Error> {
        let address = free(1)?[0];
        let store = store::serve(address)?;
        let mut targets = BTreeMap::new();
        for target_config in &site.targets {
            let service = site.services.iter().find(|service| service.name == target_config.service);
            let Some(service) = service else {
                continue;
            };
            let target =
                Target::new(&target_config.service, service.address, &target_config.name, site.slots);
            target.serve(target_config.address).await?;
            targets.insert(target_config.name.clone(), target);
        }
        Ok(Embedded {
            store,
            store_url: format!("http://{address}"),
            targets,
            members: Vec::new(),
            started: 0,
            fabric: Fabric::default(),
        })
    }

    /// Starts an instance in an availability zone.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start_instance(&mut self, zone: &str) -> Result<(), Error> {
        let addresses = free(3)?;
        let settings = Settings {
            name: format!("{zone}-{}", self.started).into(),
            zone: zone.into(),
            call_address: addresses[0],
            peer_address: addresses[1],
            operator_address: addresses[2],
            store: self.store_url.as_str().into(),
            peers: self.members.iter().map(|member| member.peer).collect(),
            leave_ms: 1_000,
            ..Settings::default()
        };
        self.started += 1;
        let daemon = Daemon::start(&settings).await?;
        self.fabric.add(addresses[0], addresses[2]);
        self.members.push(Member { daemon, zone: zone.to_owned(), call: addresses[0], peer: addresses[1] });
        Ok(())
    }

    /// Stops the oldest instance gracefully. Returns its availability zone.
    ///
    /// # Errors
    ///
    /// The instance could not be stopped.
    pub async fn stop_oldest(&mut self) -> Result<String, Error> {
        let member = self.members.remove(0);
        member.daemon.stop().await?;
        self.fabric.remove(member.call);
        Ok(member.zone)
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// They are not ready in time.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        if self.fabric.wait_ready(self.members.len(), START_TIMEOUT).await {
            return Ok(());
        }
        Err(Error::new("wait for the instances", format!("only {} are ready", self.fabric.ready())))
    }

    /// Accepts a folder. Returns the revision.
    ///
    /// # Errors
    ///
    /// The store did not answer, or a concurrent accept superseded this one.
    pub async fn accept(&self, folder: &Folder, change: &str) -> Result<u64, Error> {
        let store = HttpStore::new(&self.store_url)?;
        let parent = fetch::head(&store).await?;
        match accept::accept(&store, folder, parent.as_ref(), change).await? {
            Accepted::New(head) | Accepted::Unchanged(head) => Ok(head.revision),
            Accepted::Superseded(head) => {
                Err(Error::new("accept a folder", format!("superseded by revision {}", head.revision)))
            }
        }
    }

    /// Waits until a revision is effective on all instances, for at most 20 s. Returns the
    /// time that it took.
    pub async fn wait_effective(&self, revision: u64) -> Duration {
        const STEP: Duration = Duration::from_millis(20);
        let start = tokio::time::Instant::now();
        let is_effective = |member: &Member| member.daemon.driver().status().effective_revision >= revision;
        while !self.members.iter().all(is_effective) && start.elapsed() < START_TIMEOUT {
            tokio::time::sleep(STEP).await;
        }
        start.elapsed()
    }

    /// Targets by name.
    pub fn targets(&self) -> &BTreeMap<String, Arc<Target>> {
        &self.targets
    }

    /// Closes the store and drops the instances.
    ///
    /// # Errors
    ///
    /// The store could not be closed.
    pub async fn stop(self) -> Result<(), Error> {
        self.store.close().await.map_err(|error| Error::new("close the store", error))
    }
}

fn free(count: usize) -> Result<Vec<SocketAddr>, Error> {
    ports::free(count).map_err(|error| Error::new("find free ports", error.to_string()))
}
