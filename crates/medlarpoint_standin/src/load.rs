//! An open-loop caller: requests start on schedule, whatever the answers do.

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

/// A kind of request in a load.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Name in the report.
    pub name: &'static str,
    /// Share of the requests, relative to the other kinds.
    pub weight: u32,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Host header, which selects the route.
    pub host: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Whether each request gets an idempotency key.
    pub keyed: bool,
}

/// A part of the load with a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it lasts.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where to send the requests, in turn.
    pub addresses: Vec<SocketAddr>,
    /// Kinds of request.
    pub templates: Vec<RequestTemplate>,
    /// The phases, one after the other.
    pub phases: Vec<Phase>,
    /// Longest time to wait for an answer.
    pub timeout: Duration,
    /// Times a keyed request without a clear answer is sent again, to the next
    /// address.
    pub max_resends: usize,
    /// Seed of the choice of kinds and of the gaps.
    pub seed: u64,
    /// Prefix of the request identities.
    pub label: String,
}

/// What became of the requests of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latencies of answers with a good status, in microseconds.
    pub success_latency: Histogram<u64>,
    /// Latencies of refusals that say "not run", in microseconds.
    pub rejected_latency: Histogram<u64>,
    /// Answers with outcome unknown.
    pub unknown: u64,
    /// Requests without any answer.
    pub failed: u64,
    /// Good answers by second since the start.
    pub successes_by_second: IndexMap<u64, u64>,
    /// Identities of requests that were told "not run".
    pub not_run_ids: Vec<String>,
    /// Identities of requests with a good answer.
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
    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.success_latency.len() + self.rejected_latency.len() + self.unknown + self.failed
    }

    fn add(
        &mut self,
        id: String,
        took: Duration,
        second: u64,
        result: &Result<Response<Bytes>, HttpError>,
    ) {
        let micros = took.as_micros() as u64;
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

/// What became of a load, by kind.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The tallies.
    pub tallies: IndexMap<&'static str, Tally>,
}

impl Report {
    /// Returns the tally of a kind.
    pub fn tally(&self, name: &str) -> Tally {
        self.tallies.get(name).cloned().unwrap_or_default()
    }
}

impl Load {
    /// Runs the load to its end and waits for the last answers.
    pub async fn run(self) -> Report {
        let report = Arc::new(Mutex::new(Report::default()));
        let sender = Sender {
            http: HttpClient::new(self.timeout),
            addresses: self.addresses.clone(),
            max_resends: self.max_resends,
        };
        let mut rng = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut ends = Duration::ZERO;
        let mut tasks = JoinSet::new();
        let mut count = 0_usize;
        for phase in &self.phases {
            ends += phase.duration;
            while due < ends {
                // Poisson arrivals: gaps are exponentially distributed.
                let gap = -(1.0 - rng.random::<f64>()).ln() / phase.rate;
                due += Duration::from_secs_f64(gap);
                tokio::time::sleep_until((start + due).into()).await;
                let kind = self.choose(&mut rng).clone();
                let turn = count;
                let id = format!("{}-{}-{count}", self.label, self.seed);
                count += 1;
                let (sender, report) = (sender.clone(), Arc::clone(&report));
                tasks.spawn(async move { sender.one(turn, kind, id, start, &report).await });
            }
        }
        while tasks.join_next().await.is_some() {}
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }

    fn choose(&self, rng: &mut StdRng) -> &RequestTemplate {
        let total: u32 = self.templates.iter().map(|kind| kind.weight).sum();
        let mut left = rng.random_range(0..total.max(1));
        for kind in &self.templates {
            if left < kind.weight {
                return kind;
            }
            left -= kind.weight;
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
    async fn one(
        &self,
        turn: usize,
        kind: RequestTemplate,
        id: String,
        start: Instant,
        report: &Mutex<Report>,
    ) {
        let sent = Instant::now();
        let mut tries = 0;
        let result = loop {
            let address = self.addresses[(turn + tries) % self.addresses.len()];
            let Some(request) = request(address, &kind, &id) else {
                return;
            };
            let result = self.http.send(request).await;
            if tries >= self.max_resends || !kind.keyed || is_clear(&result) {
                break result;
            }
            tries += 1;
        };
        let took = sent.elapsed();
        let second = start.elapsed().as_secs();
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.tallies.entry(kind.name).or_default().add(id, took, second, &result);
    }
}

/// Tells whether an answer leaves nothing open.
fn is_clear(result: &Result<Response<Bytes>, HttpError>) -> bool {
    let Ok(response) = result else {
        return false;
    };
    let outcome = response.headers().get("medlarpoint-outcome");
    response.status().is_success() || outcome.is_some_and(|outcome| outcome == "not-run")
}

fn request(address: SocketAddr, kind: &RequestTemplate, id: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(kind.method.clone())
        .uri(format!("http://{address}{}", kind.path))
        .header(::http::header::HOST, &kind.host)
        .header("x-request-id", id);
    if kind.keyed {
        request = request.header("idempotency-key", id);
    }
    for (name, value) in &kind.headers {
        request = request.header(*name, value);
    }
    request.body(Full::new(Bytes::new())).ok()
}
