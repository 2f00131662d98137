//! The medlarpoint daemon: configuration, membership, call proxies, operators'
//! API, settings, logs and metrics.

mod api;
mod api_response;
mod attempt_response;
mod auth;
mod body;
mod body_limit;
mod buffer_budget;
mod call_identity;
mod caller_body;
mod claim;
mod clock;
mod commit;
mod compression;
mod control;
mod daemon;
mod departed;
mod event;
mod explain;
mod handover;
mod header;
mod held_body;
mod idle;
mod inbound;
mod interim;
mod keep_alive;
mod lifecycle;
mod log;
mod metrics;
mod outbound;
mod outbound_call;
mod outbound_response;
mod partition;
mod peer;
mod pipeline;
mod platform_endpoints;
mod pool;
mod quota;
mod registry;
mod reload;
mod reports;
mod roles;
mod rollouts;
mod server;
mod services;
mod settings;
mod shaped_body;
mod slowdown;
mod startup;
mod state;
mod store_reader;
mod suspects;
mod target;
mod target_end;
mod target_health;
mod target_pace;
mod target_response;
mod target_selector;
mod traffic;
mod workspace;

pub use api::{DocumentError, openapi};
pub use body_limit::Exceeded as BodyLimitExceeded;
pub use daemon::{Addresses, Daemon, StartError};
pub use event::{CATALOGUE, Description as EventDescription, Event, Level};
pub use log::{Format as LogFormat, Log, SetupError};
pub use metrics::{InstallError, install as install_metrics};
pub use pipeline::{CancelReason, OffReason};
pub use settings::{
    ApiOptions, InvalidSettings, LimitOptions, ListenOptions, LogOptions, MembershipOptions,
    Options, RoutingOptions, Settings, Source, StoreOptions,
};
pub use traffic::{Counts as TrafficCounts, Traffic};
