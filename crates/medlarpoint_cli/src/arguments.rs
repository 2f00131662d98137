//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use medlarpoint_model::{CommitId, Vm};

/// Declares configuration, shows what is in force, and explains why.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint", version)]
pub struct Arguments {
    /// Address of the API of any daemon.
    #[arg(long, global = true, env = "MEDLARPOINT_API", default_value = "127.0.0.1:7004")]
    pub api: SocketAddr,
    /// Bearer token for writes.
    #[arg(long, global = true, env = "MEDLARPOINT_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
    /// Format of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output_format: OutputFormat,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Formats of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Creates or replaces the resources of a document, all or none.
    Apply {
        /// Document in TOML, or in JSON if the name ends in `.json`; `-` reads standard input.
        #[arg(short, long)]
        file: PathBuf,
        /// Author of the change, as shown in the history.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
        /// Replaces resources even if others have changed them in the meantime.
        #[arg(long)]
        force: bool,
        /// Waits until the change is in force in every data centre.
        #[arg(long)]
        wait: bool,
        /// Identity of an earlier commit whose outcome is unknown, to send it again.
        #[arg(long)]
        commit: Option<CommitId>,
        /// Version that was in force before the earlier commit.
        #[arg(long, default_value_t = 0, requires = "commit")]
        since: u64,
    },
    /// Shows the resources in force.
    Get {
        /// A kind, or `kind/name`; shows all resources if omitted.
        resource: Option<String>,
    },
    /// Shows what `apply` would change.
    Diff {
        /// Document in TOML, or in JSON if the name ends in `.json`; `-` reads standard input.
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Deletes resources, all or none.
    Delete {
        /// Resources to delete, in the form `kind/name`.
        #[arg(required = true)]
        resources: Vec<String>,
        /// Author of the change, as shown in the history.
        #[arg(long, env = "USER", default_value = "operator")]
        author: String,
    },
    /// Follows a version until it is in force in every data centre.
    Watch {
        /// Version to follow; the newest one if omitted.
        version: Option<u64>,
        /// Maximum time to wait, in seconds.
        #[arg(long, default_value_t = 60)]
        timeout: u64,
    },
    /// Shows the version in force in each data centre, since when, and the members behind.
    Status,
    /// Lists recent versions with author, changes and when they came into force.
    History {
        /// Maximum number of versions to list.
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Explains a resource, a version or a target, from one daemon's point of view.
    Why {
        /// Resource to explain, in the form `kind/name`.
        resource: Option<String>,
        /// Version to explain.
        #[arg(long, conflicts_with = "resource")]
        version: Option<u64>,
        /// VM whose target to explain.
        #[arg(long, conflicts_with_all = ["resource", "version"])]
        target: Option<Vm>,
    },
    /// Follows one call through the daemons' logs, in order of time.
    Explain {
        /// Identity that the caller assigned to the call.
        id: String,
        /// Log files in JSON; reads standard input if omitted.
        logs: Vec<PathBuf>,
    },
    /// Stops new calls to the target of the daemon at `--api`.
    Drain {
        /// Resumes new calls instead.
        #[arg(long)]
        resume: bool,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// Shell to complete in.
        shell: Shell,
    },
}
