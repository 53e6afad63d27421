//! Runs the stand-ins as processes, and the measurements that use them.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use ragwortlb_standin::{control, measure, site::Size, store, target::Target};

/// Stand-ins for the environment of the load balancer
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// The platform's key-value service
    #[bpaf(command)]
    Store {
        /// Address to serve at
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Targets, all in one process
    #[bpaf(command)]
    Targets {
        /// Address of the control server
        control: SocketAddr,
        /// Concurrency slots of each target
        #[bpaf(fallback(3))]
        slots: usize,
        /// Targets: service, service address, target name, target address, joined by commas
        #[bpaf(positional("TARGET"))]
        targets: Vec<String>,
    },
    /// Measure the system as separate processes
    #[bpaf(command)]
    Measure {
        /// Seed of all random choices
        #[bpaf(fallback(1))]
        seed: u64,
        /// Size of the site: nido or cascade
        #[bpaf(fallback(Size::Nido))]
        size: Size,
        /// Print JSON
        json: bool,
        /// Measurement to run
        #[bpaf(positional("NAME"))]
        name: measure::Name,
    },
    /// The daemon, as in ragwortlbd
    #[bpaf(command)]
    Daemon {
        /// Settings file
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    match options().run() {
        Options::Daemon { settings } => {
            ragwortlbd::program::main(ragwortlbd::program::Options::serve(settings))
        }
        options => match run(options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error:#}");
                ExitCode::FAILURE
            }
        },
    }
}

#[tokio::main]
async fn run(options: Options) -> Result<()> {
    match options {
        Options::Store { address } => {
            store::serve(address)?.await.map_err(|error| eyre!(error))?;
        }
        Options::Targets { control, slots, targets } => serve_targets(control, slots, &targets).await?,
        Options::Measure { seed, size, json, name } => print_measure(name, size, seed, json).await?,
        Options::Daemon { .. } => {}
    }
    Ok(())
}

async fn serve_targets(address: SocketAddr, slots: usize, specs: &[String]) -> Result<()> {
    let mut targets = BTreeMap::new();
    for spec in specs {
        let parts: Vec<&str> = spec.split(',').collect();
        let [service, service_address, name, target_address] = parts[..] else {
            return Err(eyre!("{spec:?} is not of the form service,address,name,address"));
        };
        let target = Target::new(service, service_address.parse()?, name, slots);
        target.serve(target_address.parse()?).await?;
        targets.insert(name.to_owned(), target);
    }
    let server = control::serve(address, Arc::new(targets))?;
    server.await.map_err(|error| eyre!(error))
}

async fn print_measure(name: measure::Name, size: Size, seed: u64, json: bool) -> Result<()> {
    let program = std::env::current_exe()?;
    let folder = std::env::temp_dir().join(format!("ragwortlb-measure-{}", std::process::id()));
    let measurements = measure::run(name, size, seed, &program, &folder).await;
    let _ = std::fs::remove_dir_all(&folder);
    let measurements = measurements?;
    if json {
        println!("{}", serde_json::to_string_pretty(&measurements)?);
    } else {
        println!("{measurements:#?}");
    }
    Ok(())
}
