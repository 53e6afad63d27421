//! Stand-ins as processes.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, process::ExitCode, sync::Arc};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use ragwortlb_standin::{control, store, target::Target};

/// Stand-ins for what surrounds the load balancer
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
        /// Address to be steered at
        control: SocketAddr,
        /// Requests that a target runs at once
        #[bpaf(fallback(3))]
        slots: usize,
        /// Targets: service, its address, name, address, joined by commas
        #[bpaf(positional("TARGET"))]
        targets: Vec<String>,
    },
    /// The daemon itself, as in ragwortlbd
    #[bpaf(command)]
    Daemon {
        /// Settings
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
        Options::Daemon { .. } => {}
    }
    Ok(())
}

async fn serve_targets(address: SocketAddr, slots: usize, specs: &[String]) -> Result<()> {
    let mut targets = BTreeMap::new();
    for spec in specs {
        let parts: Vec<&str> = spec.split(',').collect();
        let [service, service_address, name, own] = parts[..] else {
            return Err(eyre!("{spec:?} is not service,address,name,address"));
        };
        let target = Target::new(service, service_address.parse()?, name, slots);
        target.serve(own.parse()?).await?;
        targets.insert(name.to_owned(), target);
    }
    let server = control::serve(address, Arc::new(targets))?;
    server.await.map_err(|error| eyre!(error))
}
