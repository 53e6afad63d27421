//! The program `ragwortlbd`: command-line options, logging, tracing and signals.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::{Result, WrapErr, eyre};
use ragwortlb::node::Event;

use tokio::signal::unix::{SignalKind, signal};

use crate::{daemon::Daemon, logs, operators, relay, settings::Settings, spans};

/// Exit code for any error, such as invalid settings.
const EXIT_FAILURE: u8 = 1;

/// An instance of the load balancer
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check the settings and exit
    check_settings: bool,
    /// Print the OpenAPI document of the operators' HTTP and exit
    openapi: bool,
    /// Forward packets on the operators' platform, with the settings file that it provides
    platform: bool,
    /// Settings file, JSON with comments
    #[bpaf(positional("SETTINGS"), optional)]
    settings: Option<PathBuf>,
}

impl Options {
    /// Options that serve with a settings file.
    pub fn serve(settings: PathBuf) -> Options {
        Options { check_settings: false, openapi: false, platform: false, settings: Some(settings) }
    }
}

/// Runs the program and returns its exit code.
pub fn main(options: Options) -> ExitCode {
    let log_queue = logs::init();
    let result = run(options);
    log_queue.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(options: Options) -> Result<()> {
    if options.openapi {
        print!("{}", operators::openapi()?);
        return Ok(());
    }
    if options.platform {
        return relay::main();
    }
    let path = options.settings.ok_or_else(|| eyre!("no settings file given; see --help"))?;
    let settings = read_settings(&path)?;
    if options.check_settings {
        println!("{} is valid", path.display());
        return Ok(());
    }
    serve(&settings)
}

fn read_settings(path: &PathBuf) -> Result<Settings> {
    let bytes = fs::read(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    Ok(Settings::parse(&path.display().to_string(), bytes)?)
}

/// Runs the daemon. The trace exporter blocks, so it is started and shut down outside the
/// runtime.
fn serve(settings: &Settings) -> Result<()> {
    let traces = match &settings.traces {
        Some(url) => Some(spans::export(url, &settings.name)?),
        None => None,
    };
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    let served = runtime.block_on(run_daemon(settings));
    if let Some(Err(error)) = traces.map(|traces| traces.shutdown()) {
        log::warn!("E104 cannot export the last trace spans: {error}");
    }
    served
}

async fn run_daemon(settings: &Settings) -> Result<()> {
    let daemon = Daemon::start(settings).await?;
    log::info!("E100 instance {} started in zone {}", settings.name, settings.zone);
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let driver = daemon.driver().clone();
    tokio::select! {
        _ = term.recv() => driver.handle(Event::Drain),
        _ = interrupt.recv() => driver.handle(Event::Drain),
        () = driver.stopped() => {}
    }
    daemon.finish().await?;
    log::info!("E103 instance stopped");
    Ok(())
}
