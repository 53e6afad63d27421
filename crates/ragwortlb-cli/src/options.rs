//! Commands and their options. The doc comments of [`Command`] are the help texts.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Width of help texts, in columns.
pub const WIDTH: usize = 100;

/// Default URL of the store.
const STORE: &str = "http://127.0.0.1:7500";

/// Validates, compares and accepts configurations, and inspects instances
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Validate a folder of documents: exit code 1 for errors, 3 for warnings only
    #[bpaf(command)]
    Check {
        /// URL of the platform's store; also show the difference from its accepted revision
        #[bpaf(argument("URL"), optional)]
        against: Option<String>,
        /// Print JSON
        json: bool,
        /// Folder of documents
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Print the merged configuration as canonical JSON
    #[bpaf(command)]
    Merge {
        /// Folder of documents
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show which document sets a value
    #[bpaf(command)]
    Explain {
        /// Print JSON
        json: bool,
        /// Folder of documents
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
        /// Dotted path of the value, such as services.booking.address
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Show what accepting a folder would change
    #[bpaf(command)]
    Diff {
        /// URL of the platform's store
        #[bpaf(argument("URL"), env("RAGWORTLB_STORE"), fallback(STORE.to_owned()))]
        store: String,
        /// Print JSON
        json: bool,
        /// Folder of documents
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Accept a folder as the next revision
    #[bpaf(command)]
    Accept {
        /// URL of the platform's store
        #[bpaf(argument("URL"), env("RAGWORTLB_STORE"), fallback(STORE.to_owned()))]
        store: String,
        /// Print JSON
        json: bool,
        /// Identity of the change; repeat an accept with the same one
        #[bpaf(argument("ID"), optional)]
        change: Option<String>,
        /// Folder of documents
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show the accepted revision and the effective revision of instances
    #[bpaf(command)]
    Status {
        /// URL of the platform's store
        #[bpaf(argument("URL"), env("RAGWORTLB_STORE"), fallback(STORE.to_owned()))]
        store: String,
        /// Print JSON
        json: bool,
        /// Operators' addresses of instances
        #[bpaf(positional("INSTANCE"))]
        instances: Vec<String>,
    },
    /// Stop an instance gracefully
    #[bpaf(command)]
    Drain {
        /// Print JSON
        json: bool,
        /// Operators' address of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
}
