//! What the experiments on calls have in common.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarpoint_standin::{Load, Phase, RequestTemplate};

use crate::{Failure, Fleet, Preset, Service, Site};

/// Longest time a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Flags of the experiments on calls.
#[derive(Clone, Debug, clap::Args)]
pub struct Setting {
    /// Deployment whose sizes and tenant mix are used.
    #[arg(long, value_enum, default_value_t)]
    pub preset: Preset,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of each measured part, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Targets; the preset's when left out.
    #[arg(long)]
    pub servers: Option<usize>,
    /// Slots of each target; the preset's when left out.
    #[arg(long)]
    pub slots: Option<u32>,
    /// Mean service time of short work, in microseconds.
    #[arg(long, default_value_t = 5_000)]
    pub service_us: u64,
    /// Tenant on whose behalf calls are made.
    #[arg(long, default_value = "members")]
    pub tenant: String,
}

impl Setting {
    /// Returns one of the preset's services, with the flags applied.
    pub fn service(&self, index: usize) -> Service {
        let preset = self.preset.services()[index];
        Service {
            targets: self.servers.unwrap_or(preset.targets),
            slots: self.slots.unwrap_or(preset.slots),
            service_time: Duration::from_micros(self.service_us),
            ..preset
        }
    }

    /// Returns the calls per second that all the targets of a service can run.
    pub fn capacity(&self, service: Service) -> f64 {
        let slots = service.targets as f64 * f64::from(service.slots);
        slots / service.service_time.as_secs_f64()
    }

    /// Length of a measured part.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns a load of one length and rate, without resends.
    pub fn load(
        &self,
        addresses: &[SocketAddr],
        kind: &RequestTemplate,
        rate: f64,
        label: &str,
    ) -> Load {
        Load {
            addresses: addresses.to_vec(),
            templates: vec![kind.clone()],
            phases: vec![Phase { duration: self.duration(), rate }],
            timeout: TIMEOUT,
            max_resends: 0,
            seed: self.seed,
            label: label.to_owned(),
        }
    }

    /// Starts a fleet in one data centre with one service and its configuration
    /// in force, and a further daemon without a target for the callers.
    pub async fn fleet(&self, service: Service, extra: &str) -> Result<Fleet, Failure> {
        let (region, places) = self.preset.places()[0];
        let mut fleet = Fleet::start(self.seed).await?;
        fleet.set_extra(extra);
        let site =
            |vm: String| Site { vm, data_centre: places[0].to_owned(), region: region.to_owned() };
        for number in 0..service.targets {
            fleet.add(site(format!("{}-{number}", service.name)), Some(service)).await?;
        }
        fleet.add(site("caller".to_owned()), None).await?;
        fleet.wait_ready().await?;
        fleet.wait_members(fleet.members.len() as u32).await?;
        let (_, version) = fleet.apply(0, self.preset.document()).await?;
        fleet.wait_version(version).await?;
        // Cold targets open their slots over half a second.
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(fleet)
    }
}

/// Returns a quantile of latencies in microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}
