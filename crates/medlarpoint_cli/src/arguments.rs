//! Arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use medlarpoint_model::{CommitId, Vm};

/// Declares configuration, shows what is in force, and explains why.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint", version)]
pub struct Arguments {
    /// Address of a daemon's API; any daemon will do.
    #[arg(long, global = true, env = "MEDLARPOINT_API", default_value = "127.0.0.1:7004")]
    pub api: SocketAddr,
    /// Bearer token for writes.
    #[arg(long, global = true, env = "MEDLARPOINT_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
    /// Shape of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output_format: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Shapes of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Declares the resources of a document: creates or replaces them, all or none.
    Apply {
        /// Document in TOML, or in JSON if the name ends in `.json`; `-` reads standard input.
        #[arg(short, long)]
        file: PathBuf,
        /// Who makes the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
        /// Replaces resources whatever others have done to them meanwhile.
        #[arg(long)]
        force: bool,
        /// Waits until the change is in force everywhere.
        #[arg(long)]
        wait: bool,
        /// Identity of an earlier try whose outcome is unknown.
        #[arg(long)]
        commit: Option<CommitId>,
        /// Version that was in force before the earlier try.
        #[arg(long, default_value_t = 0, requires = "commit")]
        since: u64,
    },
    /// Shows resources in force.
    Get {
        /// A kind, or `kind/name`; everything when left out.
        resource: Option<String>,
    },
    /// Shows what `apply` would change.
    Diff {
        /// Document, as for `apply`.
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Deletes resources, all or none.
    Delete {
        /// Resources, written `kind/name`.
        #[arg(required = true)]
        resources: Vec<String>,
        /// Who makes the change.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// Follows a version until it is in force in every data centre.
    Watch {
        /// The version; the newest one when left out.
        version: Option<u64>,
        /// Longest time to follow it, in seconds.
        #[arg(long, default_value_t = 60)]
        timeout: u64,
    },
    /// Shows which version each data centre has in force, since when, and who lags.
    Status,
    /// Lists recent versions with author, changes and when they came into force.
    History {
        /// Most versions to list.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Explains a resource, a version or a target, from one daemon's point of view.
    Why {
        /// A resource, written `kind/name`.
        resource: Option<String>,
        /// A version.
        #[arg(long, conflicts_with = "resource")]
        version: Option<u64>,
        /// The target of a VM.
        #[arg(long, conflicts_with_all = ["resource", "version"])]
        target: Option<Vm>,
    },
    /// Follows one call through the daemons' logs, in order of time.
    Explain {
        /// Identity that the caller gave the call.
        id: String,
        /// Logs in JSON; standard input when left out.
        logs: Vec<PathBuf>,
    },
    /// Stops new work for the target of the asked daemon.
    Drain {
        /// Resumes work instead.
        #[arg(long)]
        resume: bool,
    },
    /// Prints a completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}
