//! End-to-end tests over real sockets, on ports that the operating system
//! assigns.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::Full;
use medlarpoint_bench::{Fleet, Preset, Site};
use medlarpoint_cli::Exit;
use medlarpoint_standin::{CRASH_QUERY, Faults, HttpClient, TargetServer};

/// Starts a fleet of three daemons, each with a target of the service `orders`, in
/// three data centres of two regions.
async fn start_fleet(extra_settings: &str) -> Fleet {
    let mut fleet = Fleet::start(1).await.unwrap();
    fleet.set_extra_settings(extra_settings);
    for (index, data_centre) in ["stockholm-1", "stockholm-2", "gothenburg-1"].iter().enumerate() {
        let region = data_centre.split('-').next().unwrap().to_owned();
        let site =
            Site { vm: format!("vm-{index}"), data_centre: (*data_centre).to_owned(), region };
        fleet.add(site, Some(Preset::Talskrivarna.services()[1])).await.unwrap();
    }
    fleet.wait_ready().await.unwrap();
    fleet.wait_members(3).await.unwrap();
    fleet
}

/// Returns a keyed call to the service `orders` through a member, with one id for
/// the key and the request.
fn keyed_call(fleet: &Fleet, member: usize, id: &str) -> Request<Full<bytes::Bytes>> {
    let address = fleet.call_addresses()[member];
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/orders"))
        .header("host", "orders.talskrivarna")
        .header("idempotency-key", id)
        .header("x-request-id", id)
        .body(Full::new(bytes::Bytes::from_static(b"speech")))
        .unwrap()
}

/// Starts a fleet with the configuration of the preset in force.
async fn start_configured_fleet() -> Fleet {
    start_configured_fleet_with("").await
}

/// Starts a fleet with the configuration of the preset in force and further settings for
/// its daemons.
async fn start_configured_fleet_with(extra_settings: &str) -> Fleet {
    let fleet = start_fleet(extra_settings).await;
    let (exit, version) = fleet.apply(0, Preset::Talskrivarna.document()).await.unwrap();
    assert_eq!(exit, Exit::Success);
    fleet.wait_version(version).await.unwrap();
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_runs_once_whichever_daemon_receives_it() {
    let fleet = start_configured_fleet().await;
    let http = HttpClient::new(Duration::from_secs(10));
    let first = http.send(keyed_call(&fleet, 0, "order-1")).await.unwrap();
    assert_eq!(first.status(), StatusCode::OK);
    for member in 0..3 {
        let repeated = http.send(keyed_call(&fleet, member, "order-1")).await.unwrap();
        assert_eq!(repeated.status(), StatusCode::OK);
        assert_eq!(repeated.body(), first.body());
    }
    assert_eq!(fleet.execution_log.count("order-1"), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_arrive_complete_over_narrow_links() {
    const UPLOAD_BYTES: usize = 60_000;
    let fleet = start_configured_fleet_with("[limits]\nlink_megabits = 10").await;
    let http = HttpClient::new(Duration::from_secs(10));
    let uploads: Vec<_> = (0..12)
        .map(|number| {
            let id = format!("upload-{number}");
            let mut request = keyed_call(&fleet, number % 3, &id);
            *request.body_mut() = Full::new(vec![b'.'; UPLOAD_BYTES].into());
            let http = http.clone();
            (id, tokio::spawn(async move { http.send(request).await }))
        })
        .collect();
    for (id, upload) in uploads {
        let response = upload.await.unwrap().unwrap();
        assert_eq!(response.status(), StatusCode::OK, "{id}: {:?}", response.body());
        let text = String::from_utf8_lossy(response.body()).into_owned();
        assert!(text.contains(&format!(" {id} {UPLOAD_BYTES}\n")), "{text}");
        assert_eq!(fleet.execution_log.count(&id), 1);
    }
    fleet.close().await;
}

/// The caller of the second upload closes its connection while the first one takes the
/// link. All of its bytes have been sent by then.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_whose_caller_leaves_while_it_waits_for_the_link_does_not_run() {
    let mut fleet = Fleet::start(1).await.unwrap();
    fleet.set_extra_settings("[limits]\nlink_megabits = 1");
    for (vm, service) in [("vm-0", None), ("vm-1", Some(Preset::Talskrivarna.services()[1]))] {
        let (vm, data_centre, region) = (vm.into(), "stockholm-1".into(), "stockholm".into());
        fleet.add(Site { vm, data_centre, region }, service).await.unwrap();
    }
    fleet.wait_ready().await.unwrap();
    fleet.wait_members(2).await.unwrap();
    let (_, version) = fleet.apply(0, Preset::Talskrivarna.document()).await.unwrap();
    fleet.wait_version(version).await.unwrap();
    let upload = |id: &str| {
        let mut request = keyed_call(&fleet, 0, id);
        *request.body_mut() = Full::new(vec![b'.'; 60_000].into());
        request
    };
    let http = HttpClient::new(Duration::from_secs(10));
    let (first, second, third) = (upload("first"), upload("second"), upload("third"));
    let first = tokio::spawn(async move { http.send(first).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    // The client gives up, which closes its connection.
    assert!(HttpClient::new(Duration::from_millis(100)).send(second).await.is_err());
    assert_eq!(first.await.unwrap().unwrap().status(), StatusCode::OK);
    // The link of this upload is reserved after that of the second.
    let third = HttpClient::new(Duration::from_secs(10)).send(third).await.unwrap();
    assert_eq!(third.status(), StatusCode::OK);
    let counts = ["first", "second", "third"].map(|id| fleet.execution_log.count(id));
    assert_eq!(counts, [1, 0, 1]);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_rejected_and_reads_succeed_while_the_store_is_down() {
    let fleet = start_configured_fleet().await;
    fleet.store.set_faults(Faults { down: true, ..Faults::default() });
    let http = HttpClient::new(Duration::from_secs(10));
    let rejected = http.send(keyed_call(&fleet, 0, "order-2")).await.unwrap();
    assert_eq!(rejected.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.headers()["medlarpoint-outcome"], "not-run");
    assert!(rejected.headers().contains_key("retry-after"));
    assert_eq!(fleet.execution_log.count("order-2"), 0);
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
async fn changes_are_committed_once_when_store_responses_are_lost() {
    let fleet = start_configured_fleet().await;
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
    let is_extra = |name: &str| name.starts_with("extra-");
    let count = entries.iter().filter(|e| is_extra(e.resource.key().name.as_str())).count();
    assert_eq!(count, 6);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_store_gets_the_newer_version_back_and_no_daemon_reverts() {
    let fleet = start_configured_fleet().await;
    let backup = fleet.store.backup();
    let before = fleet.members[0].daemon().unwrap().version();
    let (_, version) = fleet.apply(0, "[[service]]\nname = \"late\"\n").await.unwrap();
    assert!(version > before);
    fleet.wait_version(version).await.unwrap();
    fleet.store.restore(backup);
    // A daemon that reads the older head rejects it and writes the newer one back;
    // only then does a commit succeed.
    let mut exit = Exit::StoreUnavailable;
    while exit == Exit::StoreUnavailable {
        let document = "[[service]]\nname = \"later\"\n";
        let (current_exit, in_force) = fleet.apply(0, document).await.unwrap();
        assert!(in_force >= version);
        exit = current_exit;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(exit, Exit::Success);
    let entries = fleet.resources(0).await.unwrap().entries;
    let names: Vec<String> = entries.iter().map(|e| e.resource.key().to_string()).collect();
    assert!(names.contains(&"service/late".to_owned()), "{names:?}");
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_calls_in_flight() {
    let mut fleet = start_configured_fleet().await;
    let http = HttpClient::new(Duration::from_secs(20));
    let slow_call = {
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
    // The call must be in flight at a target before any daemon shuts down.
    while fleet.members.iter().all(|m| m.target.as_ref().unwrap().requests_started() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for index in [0, 1, 2] {
        fleet.close_daemon(index).await;
    }
    assert_eq!(slow_call.await.unwrap().unwrap().status(), StatusCode::OK);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_from_its_peers_while_the_store_is_down() {
    let mut fleet = start_configured_fleet().await;
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
async fn a_daemon_responds_to_new_connections_during_its_graceful_shutdown() {
    let mut fleet = start_configured_fleet().await;
    let address = fleet.call_addresses()[1];
    // This call delays the shutdown until its deadline of 4 s.
    let mut long_call = keyed_call(&fleet, 1, "long");
    long_call.headers_mut().insert("x-work-us", "9000000".parse().unwrap());
    let pending =
        tokio::spawn(async move { HttpClient::new(Duration::from_secs(20)).send(long_call).await });
    while fleet.members.iter().all(|m| m.target.as_ref().unwrap().requests_started() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let shutdown = tokio::spawn(async move {
        fleet.close_daemon(1).await;
        fleet
    });
    let mut results = Vec::new();
    while !pending.is_finished() {
        let request = Request::builder()
            .uri(format!("http://{address}/lookup"))
            .header("host", "orders.talskrivarna")
            .body(Full::new(bytes::Bytes::new()))
            .unwrap();
        // A new client opens a new connection for each request.
        let response = HttpClient::new(Duration::from_secs(2)).send(request).await;
        results.push(response.map(|response| response.status()));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last request may have been sent after the daemon ended.
    results.pop();
    let allowed = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
    let unexpected: Vec<_> =
        results.iter().filter(|r| !r.as_ref().is_ok_and(|s| allowed.contains(s))).collect();
    assert!(
        unexpected.is_empty(),
        "{} of {}: {:?}",
        unexpected.len(),
        results.len(),
        unexpected[0]
    );
    assert!(results.iter().any(|r| r.as_ref().is_ok_and(|s| *s == allowed[1])));
    shutdown.await.unwrap().close().await;
}

/// Returns a lookup through a member. The query decides whether it crashes its targets.
fn lookup(fleet: &Fleet, member: usize, id: &str, query: &str) -> Request<Full<bytes::Bytes>> {
    let address = fleet.call_addresses()[member];
    Request::builder()
        .uri(format!("http://{address}/lookup?{query}"))
        .header("host", "orders.talskrivarna")
        .header("x-request-id", id)
        .body(Full::default())
        .unwrap()
}

/// Guards against a call that crashes each target that runs it and is handed over at each
/// of its arrivals, whichever daemon it arrives at, until no target is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashes_its_targets_is_handed_over_a_few_times_only() {
    const ARRIVALS: usize = 40;
    /// Three crashes, and three more runs until every daemon knows of them.
    const MAX_RUNS: usize = 6;
    let fleet = start_configured_fleet().await;
    let http = HttpClient::new(Duration::from_secs(10));
    for arrival in 0..ARRIVALS {
        let request = lookup(&fleet, arrival % 3, "fatal", CRASH_QUERY);
        let response = http.send(request).await.unwrap();
        let status = response.status();
        assert!(status.is_server_error(), "{status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = fleet.execution_log.count("fatal");
    assert!(runs <= MAX_RUNS, "the call ran {runs} times");
    for member in 0..3 {
        let response = http.send(lookup(&fleet, member, "innocent", "other")).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    }
    fleet.close().await;
}

/// Guards against an end of the target that stays unseen: its address accepts connections for a
/// moment after those of the running calls broke, as with a socket that a supervisor holds.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_target_is_seen_though_its_address_stays_open_for_a_moment() {
    const ARRIVALS: usize = 24;
    /// Three crashes, and three more runs until every daemon knows of them.
    const MAX_RUNS: usize = 6;
    let fleet = start_configured_fleet().await;
    for target in fleet.members.iter().filter_map(|member| member.target.as_ref()) {
        target.set_accept_after_crash(Duration::from_millis(100));
    }
    let http = HttpClient::new(Duration::from_secs(10));
    for arrival in 0..ARRIVALS {
        let request = lookup(&fleet, arrival % 3, "fatal", CRASH_QUERY);
        // A response of any kind: the call is never served.
        assert!(http.send(request).await.unwrap().status().is_server_error());
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let runs = fleet.execution_log.count("fatal");
    assert!(runs <= MAX_RUNS, "the call ran {runs} times");
    fleet.close().await;
}

/// Guards against shutting out a call for good: once the targets are mended, as by a release,
/// it is served again after its backoff.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_crashed_its_targets_is_served_again_once_they_are_mended() {
    let fleet = start_configured_fleet().await;
    let http = HttpClient::new(Duration::from_secs(10));
    let mut response = http.send(lookup(&fleet, 0, "fatal", CRASH_QUERY)).await.unwrap();
    assert!(response.status().is_server_error());
    let targets = || fleet.members.iter().filter_map(|member| member.target.as_ref());
    assert_eq!(targets().map(TargetServer::crashes).sum::<u64>(), 2);
    targets().for_each(TargetServer::mend);
    let mut rejected = 0;
    while response.status() != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(200)).await;
        response = http.send(lookup(&fleet, 1, "fatal", CRASH_QUERY)).await.unwrap();
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            assert!(response.headers().contains_key("retry-after"));
            assert_eq!(response.headers()["medlarpoint-outcome"], "not-run");
            rejected += 1;
        }
    }
    assert!(rejected > 0, "it was not backed off");
    // The response has cleared it.
    let response = http.send(lookup(&fleet, 1, "fatal", CRASH_QUERY)).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    fleet.close().await;
}
