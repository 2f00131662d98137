//! Sizes, configurations and request mixes of two example deployments.

use std::time::Duration;

use http::Method;
use medlarpoint_standin::RequestTemplate;

/// A service with the size of its targets.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service in the configuration.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Number of slots of each target.
    pub slots: u32,
    /// Mean service time of short calls.
    pub service_time: Duration,
}

/// An example deployment.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "lowercase")]
pub enum Preset {
    /// Talskrivarna Norden AB.
    #[default]
    Talskrivarna,
    /// The association of cart builders.
    Association,
}

/// Slots of a target of Talskrivarna.
const TALSKRIVARNA_SLOTS: u32 = 9;
/// Slots of a target of the association.
const ASSOCIATION_SLOTS: u32 = 18;
/// Mean service time of short calls.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Mean service time of long calls, in microseconds.
const LONG_SERVICE_TIME_US: u64 = 200_000;
/// Size of the response to a long call, in bytes.
const LONG_RESPONSE_BYTES: u64 = 200_000;

impl Preset {
    /// Returns the configuration document, in TOML.
    pub fn document(self) -> &'static str {
        match self {
            Self::Talskrivarna => include_str!("presets/talskrivarna.toml"),
            Self::Association => include_str!("presets/association.toml"),
        }
    }

    /// Returns the regions with their data centres; the store is in the first
    /// region.
    pub fn regions(self) -> [(&'static str, [&'static str; 2]); 2] {
        match self {
            Self::Talskrivarna => [
                ("stockholm", ["stockholm-1", "stockholm-2"]),
                ("gothenburg", ["gothenburg-1", "gothenburg-2"]),
            ],
            Self::Association => {
                [("pwani", ["pwani-1", "pwani-2"]), ("nyasa", ["nyasa-1", "nyasa-2"])]
            }
        }
    }

    /// Returns the services with the sizes of their targets.
    pub fn services(self) -> [Service; 3] {
        let service = |name, targets, slots| Service {
            name,
            targets,
            slots,
            service_time: SHORT_SERVICE_TIME,
        };
        match self {
            Self::Talskrivarna => [
                service("archive", 5, TALSKRIVARNA_SLOTS),
                service("orders", 4, TALSKRIVARNA_SLOTS),
                service("delivery", 4, TALSKRIVARNA_SLOTS),
            ],
            Self::Association => [
                service("availability", 7, ASSOCIATION_SLOTS),
                service("hire-desk", 4, ASSOCIATION_SLOTS),
                service("drawings", 4, ASSOCIATION_SLOTS),
            ],
        }
    }

    /// Returns the mix of requests that callers send, with relative weights.
    pub fn request_mix(self) -> Vec<RequestTemplate> {
        let lookup = |name, host: &str, weight| RequestTemplate {
            name,
            weight,
            method: Method::GET,
            path: "/lookup".to_owned(),
            host: host.to_owned(),
            headers: vec![("medlarpoint-tenant", "members".to_owned())],
            keyed: false,
        };
        let order = |name, host: &str, weight| RequestTemplate {
            method: Method::POST,
            path: "/orders".to_owned(),
            headers: vec![("medlarpoint-tenant", "chairs".to_owned())],
            keyed: true,
            ..lookup(name, host, weight)
        };
        let long = |name, host: &str, path: &str, weight| RequestTemplate {
            path: path.to_owned(),
            headers: vec![
                ("x-work-us", LONG_SERVICE_TIME_US.to_string()),
                ("x-answer-bytes", LONG_RESPONSE_BYTES.to_string()),
            ],
            ..lookup(name, host, weight)
        };
        match self {
            Self::Talskrivarna => vec![
                lookup("archive", "archive.talskrivarna", 60),
                order("commission", "orders.talskrivarna", 20),
                lookup("delivery", "delivery.talskrivarna", 18),
                long("pack", "delivery.talskrivarna", "/packs/1", 2),
            ],
            Self::Association => vec![
                lookup("availability", "board.carts", 60),
                order("booking", "hire.carts", 20),
                lookup("drawings", "drawings.carts", 18),
                long("drawing", "drawings.carts", "/drawings/1", 2),
            ],
        }
    }
}
