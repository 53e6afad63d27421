/*!
Runs the whole system as separate processes: a store, targets and instances.

All of them are subcommands of the stand-in program. A fleet signals only processes
that it started itself, and kills them when it is dropped.
*/

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use ragwortlb::{Error, config::Folder};
use ragwortlb_rpc::store::{
    accept::{self, Accepted},
    fetch,
    http::HttpStore,
};

use crate::{
    control::{self, TargetCommand, TargetReport},
    fabric::Fabric,
    ports,
    site::Site,
    switch::Switch,
};

/// Time in which started processes must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Instance in its own process.
pub struct Instance {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for customers.
    pub call: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    process: Child,
}

/// Store, targets and instances.
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    store: Option<Child>,
    targets: Option<Child>,
    /// URL of the store.
    pub store_url: String,
    control: SocketAddr,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Fabric in front of the instances.
    pub fabric: Fabric,
    /// Network between the instances.
    pub switch: Switch,
    started: usize,
    peers: Vec<SocketAddr>,
    /// JSON members to append to the settings of each instance started from now on.
    pub extra_settings: String,
}

fn fail(step: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |error| Error::new(step, error.to_string())
}

impl Fleet {
    /// Creates a fleet and starts its store. `program` is the stand-in executable, and
    /// `folder` receives settings and logs.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the store cannot be started.
    pub fn new(program: &Path, folder: &Path) -> Result<Fleet, Error> {
        const STEP: &str = "start the store";
        fs::create_dir_all(folder).map_err(fail(STEP))?;
        let addresses = ports::free(2).map_err(fail(STEP))?;
        let store = Command::new(program)
            .args(["store", &addresses[0].to_string()])
            .stdin(Stdio::null())
            .spawn()
            .map_err(fail(STEP))?;
        Ok(Fleet {
            program: program.to_owned(),
            folder: folder.to_owned(),
            store: Some(store),
            targets: None,
            store_url: format!("http://{}", addresses[0]),
            control: addresses[1],
            instances: Vec::new(),
            fabric: Fabric::default(),
            switch: Switch::default(),
            started: 0,
            peers: Vec::new(),
            extra_settings: String::new(),
        })
    }

    /// Starts the targets of a site, in one process.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_targets(&mut self, site: &Site) -> Result<(), Error> {
        const STEP: &str = "start the targets";
        let mut command = Command::new(&self.program);
        command.args(["targets", "--control", &self.control.to_string(), "--slots", &site.slots.to_string()]);
        for target in &site.targets {
            let service = site.services.iter().find(|service| service.name == target.service);
            let address = service.map(|service| service.address.to_string()).unwrap_or_default();
            command.arg(format!("{},{address},{},{}", target.service, target.name, target.address));
        }
        self.targets = Some(command.stdin(Stdio::null()).spawn().map_err(fail(STEP))?);
        Ok(())
    }

    /// Starts an instance in an availability zone. Returns its index.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_instance(&mut self, zone: &str) -> Result<usize, Error> {
        const STEP: &str = "start an instance";
        let addresses = ports::free(3).map_err(fail(STEP))?;
        let (call, bound, operators) = (addresses[0], addresses[1], addresses[2]);
        let name = format!("{zone}-{}", self.started);
        self.started += 1;
        let peer = self.switch.add(&name, zone, bound)?;
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            "{{\"name\": \"{name}\", \"zone\": \"{zone}\", \"call_address\": \"{call}\",\n\
             \"peer_address\": \"{bound}\", \"advertised_address\": \"{peer}\", \"operator_address\": \"{operators}\",\n\
             \"store\": \"{}\", \"peers\": [{}]{}}}\n",
            self.store_url,
            peers.join(", "),
            self.extra_settings
        );
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).map_err(fail(STEP))?;
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).map_err(fail(STEP))?;
        let process = Command::new(&self.program)
            .arg("daemon")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(fail(STEP))?)
            .stderr(log)
            .spawn()
            .map_err(fail(STEP))?;
        self.peers.push(peer);
        self.fabric.add(call, operators);
        let instance = Instance { name, zone: zone.to_owned(), call, peer, operators, process };
        self.instances.push(instance);
        Ok(self.instances.len() - 1)
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// They are not ready in time.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        let count = self.instances.len();
        if self.fabric.wait_ready(count, START_TIMEOUT).await {
            return Ok(());
        }
        let ready = self.fabric.ready();
        Err(Error::new("wait for the instances", format!("{ready} of {count} are ready")))
    }

    /// Creates a client of the store.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be created.
    pub fn store(&self) -> Result<HttpStore, Error> {
        HttpStore::new(&self.store_url)
    }

    /// Accepts a folder, waiting for the store to start if needed. Returns the revision.
    ///
    /// # Errors
    ///
    /// The store did not answer, or a concurrent accept superseded this one.
    pub async fn accept(&self, folder: &Folder, change: &str) -> Result<u64, Error> {
        let store = self.store()?;
        let parent = self.head(&store).await?;
        match accept::accept(&store, folder, parent.as_ref(), change).await? {
            Accepted::New(head) | Accepted::Unchanged(head) => Ok(head.revision),
            Accepted::Superseded(head) => {
                Err(Error::new("accept a folder", format!("superseded by revision {}", head.revision)))
            }
        }
    }

    async fn head(&self, store: &HttpStore) -> Result<Option<fetch::StoredHead>, Error> {
        const PAUSE: Duration = Duration::from_millis(50);
        let until = tokio::time::Instant::now() + START_TIMEOUT;
        loop {
            match fetch::head(store).await {
                Ok(head) => return Ok(head),
                Err(error) if tokio::time::Instant::now() >= until => return Err(error),
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    /// Sends a signal, such as `TERM`, to an instance.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, index: usize, signal: &str) -> Result<(), Error> {
        const STEP: &str = "signal an instance";
        let id = self.instances[index].process.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status().map_err(fail(STEP))?;
        if status.success() { Ok(()) } else { Err(Error::new(STEP, format!("kill ended with {status}"))) }
    }

    /// Kills an instance with `SIGKILL`.
    pub fn kill(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let _ = instance.process.kill();
        let _ = instance.process.wait();
    }

    /// Waits until the process of an instance has exited. Returns false if that takes longer
    /// than `limit`.
    pub async fn wait_exit(&mut self, index: usize, limit: Duration) -> bool {
        let until = tokio::time::Instant::now() + limit;
        loop {
            if matches!(self.instances[index].process.try_wait(), Ok(Some(_))) {
                return true;
            }
            if tokio::time::Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Removes an instance from the fleet; kills it if it still runs.
    pub fn remove(&mut self, index: usize) {
        let mut instance = self.instances.remove(index);
        let _ = instance.process.kill();
        let _ = instance.process.wait();
        self.fabric.remove(instance.call);
        self.peers.retain(|peer| *peer != instance.peer);
    }

    /// Reads the status of an instance.
    ///
    /// # Errors
    ///
    /// The instance did not answer within 1 s.
    pub async fn status(&self, index: usize) -> Result<ragwortlbd::operators::State, Error> {
        let operators = self.instances[index].operators;
        let fail = |error: reqwest::Error| Error::new("read the status", error.to_string());
        let client =
            reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(1)).build().map_err(fail)?;
        let answer = client.get(format!("http://{operators}/v1/status")).send().await.map_err(fail)?;
        answer.json().await.map_err(fail)
    }

    /// Reads the reports of all targets, by name of the target.
    ///
    /// # Errors
    ///
    /// The process of the targets did not answer.
    pub async fn target_reports(&self) -> Result<BTreeMap<String, TargetReport>, Error> {
        control::target_reports(self.control).await
    }

    /// Changes the behavior of a target.
    ///
    /// # Errors
    ///
    /// The process of the targets did not answer, or has no such target.
    pub async fn command(&self, target: &str, command: &TargetCommand) -> Result<(), Error> {
        control::command(self.control, target, command).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let processes = self.instances.iter_mut().map(|instance| &mut instance.process);
        for process in processes.chain(&mut self.store).chain(&mut self.targets) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
