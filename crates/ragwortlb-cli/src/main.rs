/*!
The command-line tool `ragwortlb`.

Operators use it to validate a configuration folder, accept it as the next revision
in the platform's store, and inspect or drain instances.
*/

mod commands;
mod folder;
mod options;
mod report;

use std::process::ExitCode;

use options::Command;

/// Exit code for a command that failed or was rejected.
const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match options::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(options::WIDTH);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { EXIT_USAGE });
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(command: Command) -> eyre::Result<()> {
    match command {
        Command::Check { json, dir } => commands::check(&dir, json),
        Command::Merge { dir } => commands::merge(&dir),
        Command::Explain { json, dir, path } => commands::explain(&dir, &path, json),
        Command::Diff { store, json, dir } => commands::diff(&store, &dir, json).await,
        Command::Accept { store, json, change, dir } => commands::accept(&store, &dir, change, json).await,
        Command::Status { store, json, instances } => commands::status(&store, &instances, json).await,
        Command::Drain { json, instance } => commands::drain(&instance, json).await,
    }
}
