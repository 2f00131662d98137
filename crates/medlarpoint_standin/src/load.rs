//! Open-loop load generator: requests start on schedule, independent of responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ::http::{Method, Request, Response};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::{HttpClient, HttpError};

/// Template for the requests of one kind in a load.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Name of the kind in the report.
    pub name: &'static str,
    /// Share of the requests, relative to the weights of the other templates.
    pub weight: u32,
    /// HTTP method.
    pub method: Method,
    /// Path of the request.
    pub path: String,
    /// Host header, which selects the route.
    pub host: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Whether each request gets an idempotency key.
    pub keyed: bool,
}

/// Period of a load with a constant request rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Duration of the phase.
    pub duration: Duration,
    /// Mean number of requests per second.
    pub rate: f64,
}

/// A load to generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses to send the requests to, in round-robin order.
    pub addresses: Vec<SocketAddr>,
    /// Templates of the requests.
    pub templates: Vec<RequestTemplate>,
    /// Phases, which run one after the other.
    pub phases: Vec<Phase>,
    /// Time limit for each response.
    pub timeout: Duration,
    /// Limit on how often a keyed request without a definite result is sent again, to
    /// the next address each time.
    pub max_resends: usize,
    /// Seed of the choice of templates and of the intervals between requests.
    pub seed: u64,
    /// Prefix of the request identities.
    pub label: String,
}

/// Results of the requests of one template.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latencies of responses with a success status, in microseconds.
    pub success_latency: Histogram<u64>,
    /// Latencies of rejections with the outcome `not-run`, in microseconds.
    pub rejected_latency: Histogram<u64>,
    /// Number of responses with neither a success status nor the outcome `not-run`.
    pub unknown: u64,
    /// Number of requests without a response.
    pub failed: u64,
    /// Number of successful responses, by second since the start.
    pub successes_by_second: IndexMap<u64, u64>,
    /// Identities of requests with the outcome `not-run`.
    pub not_run_ids: Vec<String>,
    /// Identities of requests with a success status.
    pub success_ids: Vec<String>,
}

impl Default for Tally {
    fn default() -> Self {
        let empty = Histogram::new_with_max(600_000_000, 3).expect("valid bounds");
        Self {
            success_latency: empty.clone(),
            rejected_latency: empty,
            unknown: 0,
            failed: 0,
            successes_by_second: IndexMap::new(),
            not_run_ids: Vec::new(),
            success_ids: Vec::new(),
        }
    }
}

impl Tally {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.success_latency.len() + self.rejected_latency.len() + self.unknown + self.failed
    }

    fn add(
        &mut self,
        id: String,
        latency: Duration,
        second: u64,
        result: &Result<Response<Bytes>, HttpError>,
    ) {
        let micros = latency.as_micros() as u64;
        let Ok(response) = result else {
            self.failed += 1;
            return;
        };
        if response.status().is_success() {
            self.success_latency.saturating_record(micros);
            *self.successes_by_second.entry(second).or_default() += 1;
            self.success_ids.push(id);
            return;
        }
        let outcome = response.headers().get("medlarpoint-outcome");
        if outcome.is_some_and(|outcome| outcome == "not-run") {
            self.rejected_latency.saturating_record(micros);
            self.not_run_ids.push(id);
        } else {
            self.unknown += 1;
        }
    }
}

/// Results of a load, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Tallies by the name of the template.
    pub tallies: IndexMap<&'static str, Tally>,
}

impl Report {
    /// Returns the tally of a kind, which is empty if no such request was sent.
    pub fn tally(&self, name: &str) -> Tally {
        self.tallies.get(name).cloned().unwrap_or_default()
    }
}

impl Load {
    /// Runs all phases and waits for the last responses.
    pub async fn run(self) -> Report {
        let report = Arc::new(Mutex::new(Report::default()));
        let sender = Sender {
            http: HttpClient::new(self.timeout),
            addresses: self.addresses.clone(),
            max_resends: self.max_resends,
        };
        let mut rng = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut due_at = Duration::ZERO;
        let mut phase_end = Duration::ZERO;
        let mut tasks = JoinSet::new();
        let mut count = 0_usize;
        for phase in &self.phases {
            phase_end += phase.duration;
            while due_at < phase_end {
                // Poisson arrivals: intervals are exponentially distributed.
                let interval = -(1.0 - rng.random::<f64>()).ln() / phase.rate;
                due_at += Duration::from_secs_f64(interval);
                tokio::time::sleep_until((start + due_at).into()).await;
                let template = self.choose_template(&mut rng).clone();
                let index = count;
                let id = format!("{}-{}-{count}", self.label, self.seed);
                count += 1;
                let (sender, report) = (sender.clone(), Arc::clone(&report));
                tasks.spawn(async move { sender.send(index, template, id, start, &report).await });
            }
        }
        while tasks.join_next().await.is_some() {}
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }

    fn choose_template(&self, rng: &mut StdRng) -> &RequestTemplate {
        let total: u32 = self.templates.iter().map(|template| template.weight).sum();
        let mut remaining = rng.random_range(0..total.max(1));
        for template in &self.templates {
            if remaining < template.weight {
                return template;
            }
            remaining -= template.weight;
        }
        &self.templates[0]
    }
}

#[derive(Clone, Debug)]
struct Sender {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    max_resends: usize,
}

impl Sender {
    /// Sends a request, with resends, and adds the result to the report.
    async fn send(
        &self,
        index: usize,
        template: RequestTemplate,
        id: String,
        start: Instant,
        report: &Mutex<Report>,
    ) {
        let sent_at = Instant::now();
        let mut resends = 0;
        let result = loop {
            let address = self.addresses[(index + resends) % self.addresses.len()];
            let Some(request) = request(address, &template, &id) else {
                return;
            };
            let result = self.http.send(request).await;
            if resends >= self.max_resends || !template.keyed || is_definite(&result) {
                break result;
            }
            resends += 1;
        };
        let latency = sent_at.elapsed();
        let second = start.elapsed().as_secs();
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.tallies.entry(template.name).or_default().add(id, latency, second, &result);
    }
}

/// Returns whether the result says definitely that the request ran or did not run.
fn is_definite(result: &Result<Response<Bytes>, HttpError>) -> bool {
    let Ok(response) = result else {
        return false;
    };
    let outcome = response.headers().get("medlarpoint-outcome");
    response.status().is_success() || outcome.is_some_and(|outcome| outcome == "not-run")
}

fn request(
    address: SocketAddr,
    template: &RequestTemplate,
    id: &str,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(template.method.clone())
        .uri(format!("http://{address}{}", template.path))
        .header(::http::header::HOST, &template.host)
        .header("x-request-id", id);
    if template.keyed {
        request = request.header("idempotency-key", id);
    }
    for (name, value) in &template.headers {
        request = request.header(*name, value);
    }
    request.body(Full::new(Bytes::new())).ok()
}
