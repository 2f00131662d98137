//! Quotas of workspaces over real sockets: three daemons in one fleet.

use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use http_body_util::Full;
use medlarpoint_bench::{Fleet, Preset, Site};
use medlarpoint_cli::Exit;
use medlarpoint_model::KeyDigest;
use medlarpoint_standin::HttpClient;

/// Window of the bound on the calls of a workspace that run.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after the start after which allocators lend: members have to be known for 2 s, and
/// a new allocator begins in debt.
const FIRST_TOKENS: Duration = Duration::from_secs(4);

/// Starts three daemons with two workspaces, of which `small` has 10 calls per second with a
/// burst of 5, and `large` has no quota.
async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(1).await.unwrap();
    for index in 0..3 {
        let (data_centre, region) = ("stockholm-1".to_owned(), "stockholm".to_owned());
        let site = Site { vm: format!("vm-{index}"), data_centre, region };
        fleet.add(site, Some(Preset::Talskrivarna.services()[1])).await.unwrap();
    }
    fleet.wait_ready().await.unwrap();
    fleet.wait_members(3).await.unwrap();
    let document = format!(
        "{}\n\
         [[workspace]]\nname = \"small\"\nkeys = [\"{}\"]\n\
         quota = {{ calls_per_1000_s = 10000, burst = 5 }}\n\
         [[workspace]]\nname = \"large\"\nkeys = [\"{}\"]\n",
        Preset::Talskrivarna.document(),
        KeyDigest::of(b"key-of-small"),
        KeyDigest::of(b"key-of-large"),
    );
    let (exit, version) = fleet.apply(0, &document).await.unwrap();
    assert_eq!(exit, Exit::Success);
    fleet.wait_version(version).await.unwrap();
    fleet
}

fn lookup(fleet: &Fleet, member: usize, key: &str) -> Request<Full<bytes::Bytes>> {
    let address = fleet.call_addresses()[member];
    Request::builder()
        .uri(format!("http://{address}/lookup"))
        .header("host", "orders.talskrivarna")
        .header("authorization", format!("Token {key}"))
        .body(Full::default())
        .unwrap()
}

/// Guards against a quota that holds per daemon only, against a workspace with callers on few
/// daemons that does not get its quota, and against a quota that slows other workspaces.
#[tokio::test(flavor = "multi_thread")]
async fn a_quota_holds_over_all_daemons_together() {
    let fleet = start_fleet().await;
    tokio::time::sleep(FIRST_TOKENS).await;
    let http = HttpClient::new(Duration::from_secs(10));
    let (mut ran, mut rejected) = (Vec::new(), 0);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(8) {
        for member in 0..2 {
            let response = http.send(lookup(&fleet, member, "key-of-small")).await.unwrap();
            if response.status() == StatusCode::TOO_MANY_REQUESTS {
                rejected += 1;
                assert!(response.headers().contains_key("retry-after"));
                assert_eq!(response.headers()["medlarpoint-outcome"], "not-run");
            } else {
                assert_eq!(response.status(), StatusCode::OK);
                ran.push(Instant::now());
            }
            let response = http.send(lookup(&fleet, member, "key-of-large")).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
        }
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    for end in &ran {
        let in_window = ran.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count();
        // (10 calls per second x 5 s + a burst of 5) x 1.1 + 20
        assert!(in_window <= 80, "{in_window} calls ran in 5 s");
    }
    assert!(rejected > 0);
    assert!(ran.len() >= 40, "{} calls ran in 8 s", ran.len());
    let mut allocators = Vec::new();
    for member in &fleet.members {
        allocators.push(member.daemon.as_ref().unwrap().status().allocators);
    }
    assert_eq!(allocators[0].len(), 1);
    assert!(allocators.iter().all(|seen| *seen == allocators[0]));
    fleet.close().await;
}
