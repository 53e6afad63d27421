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

use commands::CheckResult;
use options::Command;

/// Exit code for a command that failed or was rejected.
const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Exit code for a folder that is valid, but has warnings.
const EXIT_WARNINGS: u8 = 3;

fn main() -> ExitCode {
    let command = match options::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(options::WIDTH);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { EXIT_USAGE });
        }
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(command: Command) -> eyre::Result<ExitCode> {
    match command {
        Command::Check { against, json, dir } => {
            let result = commands::check(&dir, against.as_deref(), json).await?;
            return Ok(match result {
                CheckResult::Clean => ExitCode::SUCCESS,
                CheckResult::Warnings => ExitCode::from(EXIT_WARNINGS),
                CheckResult::Errors => ExitCode::from(EXIT_FAILURE),
            });
        }
        Command::Merge { dir } => commands::merge(&dir)?,
        Command::Explain { json, dir, path } => commands::explain(&dir, &path, json)?,
        Command::Diff { store, json, dir } => commands::diff(&store, &dir, json).await?,
        Command::Accept { store, json, change, dir } => commands::accept(&store, &dir, change, json).await?,
        Command::Status { store, json, instances } => commands::status(&store, &instances, json).await?,
        Command::Drain { json, instance } => commands::drain(&instance, json).await?,
    }
    Ok(ExitCode::SUCCESS)
}
