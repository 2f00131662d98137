//! The two deployments of the brief.

use std::time::Duration;

use http::Method;
use medlarpoint_standin::RequestTemplate;

/// A service with its number of targets.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Mean service time of short work.
    pub service_time: Duration,
}

/// A deployment.
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
/// Mean service time of short work.
const SHORT_WORK: Duration = Duration::from_millis(5);
/// Mean service time of long work, in microseconds.
const LONG_WORK_US: u64 = 200_000;
/// Size of a long answer, in bytes.
const LONG_ANSWER_BYTES: u64 = 200_000;

impl Preset {
    /// Returns the configuration document.
    pub fn document(self) -> &'static str {
        match self {
            Self::Talskrivarna => include_str!("presets/talskrivarna.toml"),
            Self::Association => include_str!("presets/association.toml"),
        }
    }

    /// Returns regions with their data centres; the store is in the first.
    pub fn places(self) -> [(&'static str, [&'static str; 2]); 2] {
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

    /// Returns the services.
    pub fn services(self) -> [Service; 3] {
        let service =
            |name, targets, slots| Service { name, targets, slots, service_time: SHORT_WORK };
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

    /// Returns the usual mix of requests.
    pub fn kinds(self) -> Vec<RequestTemplate> {
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
                ("x-work-us", LONG_WORK_US.to_string()),
                ("x-answer-bytes", LONG_ANSWER_BYTES.to_string()),
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
