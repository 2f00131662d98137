//! The whole path on real sockets, with ports from the system.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::Full;
use medlarpoint_bench::{Fleet, Preset, Site};
use medlarpoint_cli::Exit;
use medlarpoint_standin::{Faults, HttpClient};

async fn fleet() -> Fleet {
    let mut fleet = Fleet::start(1).await.unwrap();
    for (index, place) in ["stockholm-1", "stockholm-2", "gothenburg-1"].iter().enumerate() {
        let region = place.split('-').next().unwrap().to_owned();
        let site = Site { vm: format!("vm-{index}"), data_centre: (*place).to_owned(), region };
        fleet.add(site, Some(Preset::Talskrivarna.services()[1])).await.unwrap();
    }
    fleet.wait_ready().await.unwrap();
    fleet.wait_members(3).await.unwrap();
    fleet
}

fn call(fleet: &Fleet, member: usize, id: &str) -> Request<Full<bytes::Bytes>> {
    let address = fleet.calls()[member];
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/orders"))
        .header("host", "orders.talskrivarna")
        .header("idempotency-key", id)
        .header("x-request-id", id)
        .body(Full::new(bytes::Bytes::from_static(b"speech")))
        .unwrap()
}

async fn declared() -> Fleet {
    let fleet = fleet().await;
    let (exit, version) = fleet.apply(0, Preset::Talskrivarna.document()).await.unwrap();
    assert_eq!(exit, Exit::Success);
    fleet.wait_version(version).await.unwrap();
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_through_whichever_daemon_it_comes() {
    let fleet = declared().await;
    let http = HttpClient::new(Duration::from_secs(10));
    let first = http.send(call(&fleet, 0, "order-1")).await.unwrap();
    assert_eq!(first.status(), StatusCode::OK);
    for member in 0..3 {
        let again = http.send(call(&fleet, member, "order-1")).await.unwrap();
        assert_eq!(again.status(), StatusCode::OK);
        assert_eq!(again.body(), first.body());
    }
    assert_eq!(fleet.ledger.count("order-1"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_a_keyed_call_is_not_run_and_reads_go_on() {
    let fleet = declared().await;
    fleet.store.set_faults(Faults { down: true, ..Faults::default() });
    let http = HttpClient::new(Duration::from_secs(10));
    let refused = http.send(call(&fleet, 0, "order-2")).await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["medlarpoint-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(fleet.ledger.count("order-2"), 0);
    assert!(!fleet.resources(1).await.unwrap().entries.is_empty());
    let document = "[[service]]\nname = \"new\"\n";
    let (exit, _) = fleet.apply(1, document).await.unwrap();
    assert_eq!(exit, Exit::StoreUnavailable);
    fleet.store.set_faults(Faults::default());
    let (exit, _) = fleet.apply(1, document).await.unwrap();
    assert_eq!(exit, Exit::Success);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_commit_once() {
    let fleet = declared().await;
    fleet.store.set_faults(Faults { lose_answers_percent: 50, ..Faults::default() });
    for number in 0..6 {
        let document = format!("[[service]]\nname = \"extra-{number}\"\n");
        let (exit, _) = fleet.apply(number % 3, &document).await.unwrap();
        assert_eq!(exit, Exit::Success);
    }
    fleet.store.set_faults(Faults::default());
    let version = fleet.members[0].daemon().unwrap().version();
    fleet.wait_version(version).await.unwrap();
    let entries = fleet.resources(2).await.unwrap().entries;
    let extra = |name: &str| name.starts_with("extra-");
    let count = entries.iter().filter(|e| extra(e.resource.key().name.as_str())).count();
    assert_eq!(count, 6);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_store_is_put_right_and_nothing_reverts() {
    let fleet = declared().await;
    let backup = fleet.store.backup();
    let before = fleet.members[0].daemon().unwrap().version();
    let (_, version) = fleet.apply(0, "[[service]]\nname = \"late\"\n").await.unwrap();
    assert!(version > before);
    fleet.wait_version(version).await.unwrap();
    fleet.store.restore(backup);
    // A reader sees the older head, refuses it and writes the newer one back;
    // a commit succeeds only on top of that.
    let mut exit = Exit::StoreUnavailable;
    while exit == Exit::StoreUnavailable {
        let document = "[[service]]\nname = \"later\"\n";
        let (now, reached) = fleet.apply(0, document).await.unwrap();
        assert!(reached >= version);
        exit = now;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(exit, Exit::Success);
    let entries = fleet.resources(0).await.unwrap().entries;
    let names: Vec<String> = entries.iter().map(|e| e.resource.key().to_string()).collect();
    assert!(names.contains(&"service/late".to_owned()), "{names:?}");
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = declared().await;
    let http = HttpClient::new(Duration::from_secs(20));
    let slow = {
        let address = fleet.members[1].daemon().unwrap().addresses().calls;
        let request = Request::builder()
            .uri(format!("http://{address}/lookup"))
            .header("host", "orders.talskrivarna")
            .header("x-work-us", "1500000")
            .body(Full::new(bytes::Bytes::new()))
            .unwrap();
        let http = http.clone();
        tokio::spawn(async move { http.send(request).await })
    };
    // The call is at a target before any of the daemons stops.
    while fleet.members.iter().all(|m| m.target.as_ref().unwrap().requests_started() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for index in [0, 1, 2] {
        fleet.close_daemon(index).await;
    }
    assert_eq!(slow.await.unwrap().unwrap().status(), StatusCode::OK);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_start_without_the_store_from_their_peers() {
    let mut fleet = declared().await;
    let version = fleet.members[0].daemon().unwrap().version();
    fleet.use_seeds().unwrap();
    fleet.store.set_faults(Faults { down: true, ..Faults::default() });
    fleet.kill(2).await;
    fleet.restart(2).await.unwrap();
    fleet.wait_ready().await.unwrap();
    assert_eq!(fleet.members[2].daemon().unwrap().version(), version);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_answers_new_connections_while_it_is_there() {
    let mut fleet = declared().await;
    let address = fleet.calls()[1];
    // A call that holds the daemon until its deadline of four seconds.
    let mut long = call(&fleet, 1, "long");
    long.headers_mut().insert("x-work-us", "9000000".parse().unwrap());
    let held =
        tokio::spawn(async move { HttpClient::new(Duration::from_secs(20)).send(long).await });
    while fleet.members.iter().all(|m| m.target.as_ref().unwrap().requests_started() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stopping = tokio::spawn(async move {
        fleet.close_daemon(1).await;
        fleet
    });
    let mut answers = Vec::new();
    while !held.is_finished() {
        let request = Request::builder()
            .uri(format!("http://{address}/lookup"))
            .header("host", "orders.talskrivarna")
            .body(Full::new(bytes::Bytes::new()))
            .unwrap();
        // A new connection each time.
        let answer = HttpClient::new(Duration::from_secs(2)).send(request).await;
        answers.push(answer.map(|response| response.status()));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last one may have come when the daemon was gone.
    answers.pop();
    let good = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
    let broken: Vec<_> =
        answers.iter().filter(|a| !a.as_ref().is_ok_and(|s| good.contains(s))).collect();
    assert!(broken.is_empty(), "{} of {}: {:?}", broken.len(), answers.len(), broken[0]);
    assert!(answers.iter().any(|a| a.as_ref().is_ok_and(|s| *s == good[1])));
    stopping.await.unwrap().close().await;
}
