//! The daemon: drivers, API, proxies, settings, metrics.

mod api;
mod body;
mod claim;
mod clock;
mod commit;
mod control;
mod cuts;
mod daemon;
mod event;
mod exchange;
mod explain;
mod handover;
mod header;
mod inbound;
mod life;
mod limit;
mod local;
mod log;
mod metrics;
mod outbound;
mod pace;
mod packing;
mod peer;
mod pool;
mod reader;
mod registry;
mod reload;
mod reports;
mod sending;
mod server;
mod services;
mod settings;
mod startup;
mod state;
mod target;
mod token;
mod traffic;
mod verdict;
mod view;

pub use api::{DocumentError, openapi};
pub use daemon::{Addresses, Daemon, StartError};
pub use event::{CATALOGUE, Described, Event, Level};
pub use limit::Exceeded;
pub use log::{Format as LogFormat, Log, SetupError};
pub use metrics::{InstallError, install as install_metrics};
pub use settings::{
    ApiOptions, InvalidSettings, LimitOptions, ListenOptions, LogOptions, MembershipOptions,
    Options, RoutingOptions, Settings, Source, StoreOptions,
};
pub use traffic::{Reading, Traffic};
