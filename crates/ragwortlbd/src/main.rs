//! The daemon `ragwortlbd`.

use std::process::ExitCode;

use ragwortlbd::program;

fn main() -> ExitCode {
    program::main(program::options().run())
}
