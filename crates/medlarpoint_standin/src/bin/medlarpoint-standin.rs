//! Command-line program that runs a stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use http::Method;
use medlarpoint_model::Name;
use medlarpoint_standin::{
    Announcer, ExecutionLog, Faults, Load, Phase, RequestTemplate, ServiceTime, StoreServer,
    TargetOptions, TargetServer,
};

/// Time for which a crashed target is away.
const RESTART_AFTER: Duration = Duration::from_secs(3);

/// Stand-ins for the platform's store, targets and callers.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint-standin", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an in-memory key-value store.
    Store {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7400")]
        listen: SocketAddr,
        /// Delay of each response, in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
        /// Share of writes whose response is lost, in percent.
        #[arg(long, default_value_t = 0)]
        lose_answers_percent: u8,
        /// Seed of the choice of lost responses.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a target and announces it to its daemon.
    Target {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of the daemon's API.
        #[arg(long)]
        api: SocketAddr,
        /// Service that the target belongs to.
        #[arg(long)]
        service: Name,
        /// Maximum number of requests that run at a time.
        #[arg(long, default_value_t = 9)]
        slots: u32,
        /// Mean service time, in microseconds.
        #[arg(long, default_value_t = 5_000)]
        service_us: u64,
    },
    /// Sends requests at a constant mean rate and prints a summary of the results.
    Caller {
        /// Addresses of daemons, used in round-robin order.
        #[arg(long, required = true)]
        address: Vec<SocketAddr>,
        /// Host header, which selects the route.
        #[arg(long)]
        host: String,
        /// Path of the requests.
        #[arg(long, default_value = "/")]
        path: String,
        /// HTTP method of the requests.
        #[arg(long, default_value = "GET")]
        method: Method,
        /// Mean number of requests per second.
        #[arg(long, default_value_t = 10.0)]
        rate: f64,
        /// Duration of the load, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Whether each request carries an idempotency key.
        #[arg(long)]
        keyed: bool,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarpoint-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    match command {
        Command::Store { listen, delay_ms, lose_answers_percent, seed } => {
            let store = StoreServer::start(listen, seed).await?;
            store.set_faults(Faults { delay_ms, lose_answers_percent, ..Faults::default() });
            println!("store on {}", store.address());
            tokio::signal::ctrl_c().await?;
            store.close();
        }
        Command::Target { listen, api, service, slots, service_us } => {
            let service_time =
                ServiceTime { mean: Duration::from_micros(service_us), slowdown: 1.0 };
            let options = TargetOptions {
                name: service.to_string(),
                slots,
                service_time,
                seed: 1,
                restart_after: RESTART_AFTER,
            };
            let target = TargetServer::start(listen, options, ExecutionLog::default()).await?;
            println!("target of {service} on {}", target.address());
            let announcer = Announcer::start(api, service, target.address(), slots);
            tokio::signal::ctrl_c().await?;
            announcer.close();
            target.close();
        }
        Command::Caller { address, host, path, method, rate, seconds, keyed } => {
            let headers = Vec::new();
            let template =
                RequestTemplate { name: "call", weight: 1, method, path, host, headers, keyed };
            let duration = Duration::from_secs(seconds);
            let load = Load {
                addresses: address,
                templates: vec![template],
                phases: vec![Phase { duration, rate }],
                timeout: Duration::from_secs(10),
                max_resends: 2,
                seed: 1,
                label: std::process::id().to_string(),
            };
            let tally = load.run().await.tally("call");
            println!(
                "{} requests: {} successful (p50 {} us, p99 {} us), {} not run, {} unknown, {} failed",
                tally.total(),
                tally.success_latency.len(),
                tally.success_latency.value_at_quantile(0.5),
                tally.success_latency.value_at_quantile(0.99),
                tally.rejected_latency.len(),
                tally.unknown,
                tally.failed,
            );
        }
    }
    Ok(())
}
