//! End-to-end tests of requests that a caller sends before the earlier ones are answered.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_bench::{Fleet, Preset, Site};
use medlarpoint_cli::Exit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Settings of a daemon that reads requests ahead.
const READ_AHEAD: &str = "[limits]\npipelined_requests = 8";
/// Work of a slow call in microseconds; the target takes 0.5 to 1.5 times as long.
const SLOW_WORK_US: u64 = 4_000_000;
/// Time limit for what a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time after which calls would have run that were not cancelled.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Starts a fleet with a daemon for callers for each of `settings`, two targets of
/// `delivery` and two of `orders`.
async fn start_fleet(settings: &[&str]) -> Fleet {
    let mut fleet = Fleet::start(1).await.unwrap();
    let [_, orders, delivery] = Preset::Talskrivarna.services();
    let callers = settings.iter().map(|settings| (*settings, None));
    let targets =
        [("", Some(delivery)), ("", Some(delivery)), ("", Some(orders)), ("", Some(orders))];
    let daemons: Vec<_> = callers.chain(targets).collect();
    for (index, (settings, service)) in daemons.iter().enumerate() {
        fleet.set_extra_settings(settings);
        let (data_centre, region) = ("stockholm-1".to_owned(), "stockholm".to_owned());
        let site = Site { vm: format!("vm-{index}"), data_centre, region };
        fleet.add(site, *service).await.unwrap();
    }
    fleet.wait_ready().await.unwrap();
    fleet.wait_members(daemons.len() as u32).await.unwrap();
    let (exit, version) = fleet.apply(0, Preset::Talskrivarna.document()).await.unwrap();
    assert_eq!(exit, Exit::Success);
    fleet.wait_version(version).await.unwrap();
    fleet
}

/// Returns the number of calls that run or wait at the targets.
fn calls_at_targets(fleet: &Fleet) -> u32 {
    let targets = fleet.members.iter().filter_map(|m| m.daemon().unwrap().status().target);
    targets.map(|target| target.running + target.queued).sum()
}

/// Waits until a condition holds.
async fn wait(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_LIMIT, wait).await.is_ok(), "waited for {what}");
}

/// Returns a repeatable request to `delivery` that takes `SLOW_WORK_US`.
fn slow(id: &str) -> String {
    get("delivery", "/packs/1", id, &format!("x-work-us: {SLOW_WORK_US}\r\n"))
}

/// Returns a repeatable request to `delivery`.
fn quick(id: &str) -> String {
    get("delivery", "/lookup", id, "x-work-us: 1000\r\n")
}

fn get(service: &str, path: &str, id: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {service}.talskrivarna\r\nx-request-id: {id}\r\n{headers}\r\n"
    )
}

/// Returns a request to `orders` that may not be repeated.
fn order(id: &str, headers: &str) -> String {
    format!(
        "POST /orders HTTP/1.1\r\nhost: orders.talskrivarna\r\nx-request-id: {id}\r\n{headers}\
         content-length: 6\r\n\r\nspeech"
    )
}

/// A response.
#[derive(Debug)]
struct Response {
    status: u16,
    /// Id of the request, as the target has repeated it in the body; empty if the response
    /// is not the target's.
    id: String,
    closes: bool,
    /// Size of the request body, as the target has received it.
    received_bytes: usize,
}

/// A connection to a daemon.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(address).await.unwrap(), received: Vec::new() }
    }

    async fn send(&mut self, requests: &str) {
        self.stream.write_all(requests.as_bytes()).await.unwrap();
    }

    /// Returns whether any byte of a response has arrived.
    fn has_received(&mut self) -> bool {
        let mut buffer = [0; 1_024];
        if let Ok(bytes) = self.stream.try_read(&mut buffer) {
            self.received.extend_from_slice(&buffer[..bytes]);
        }
        !self.received.is_empty()
    }

    /// Returns the next response, or `None` if the connection has ended.
    async fn response(&mut self) -> Option<Response> {
        let response = async {
            loop {
                if let Some(response) = self.parse() {
                    return Some(response);
                }
                if self.stream.read_buf(&mut self.received).await.unwrap_or(0) == 0 {
                    return None;
                }
            }
        };
        tokio::time::timeout(WAIT_LIMIT, response).await.expect("no response")
    }

    /// Returns the responses until the connection ends.
    async fn responses(&mut self) -> Vec<Response> {
        let mut responses = Vec::new();
        while let Some(response) = self.response().await {
            responses.push(response);
        }
        responses
    }

    fn parse(&mut self) -> Option<Response> {
        let end = self.received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.received[..end]).to_ascii_lowercase();
        let field = |name: &str| head.split("\r\n").find_map(|line| line.strip_prefix(name));
        let length = field("content-length: ").map_or(0, |length| length.parse().unwrap());
        let body = self.received.get(end..end + length)?;
        // The stand-in target responds with its name, the id of the request and a number.
        let text = String::from_utf8_lossy(body).into_owned();
        let words: Vec<&str> = text.split_whitespace().take(3).collect();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let id = if status == 200 { words[1].to_owned() } else { String::new() };
        let received_bytes = if status == 200 { words[2].parse().unwrap() } else { 0 };
        let closes = field("connection: ") == Some("close");
        self.received.drain(..end + length);
        Some(Response { status, id, closes, received_bytes })
    }
}

fn ids(responses: &[Response]) -> Vec<&str> {
    responses.iter().map(|response| response.id.as_str()).collect()
}

/// Guards against a slow call that delays the calls behind it, and against responses in
/// another order than the requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_call_delays_no_pipelined_call_at_its_target() {
    const CALLERS: usize = 6;
    const QUICK: usize = 15;
    /// Requests that are read ahead behind the slow one.
    const AHEAD: usize = 7;
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut callers = Vec::new();
    let names: Vec<Vec<String>> =
        (0..CALLERS).map(|c| (0..=QUICK).map(|n| format!("call-{c}-{n}")).collect()).collect();
    for names in &names {
        let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
        let quick: String = names[1..].iter().map(|id| quick(id)).collect();
        caller.send(&(slow(&names[0]) + &quick)).await;
        callers.push(caller);
    }
    let ahead: Vec<&String> = names.iter().flat_map(|names| &names[1..=AHEAD]).collect();
    wait("calls behind a slow one", || ahead.iter().all(|id| fleet.execution_log.count(id) > 0))
        .await;
    for (caller, names) in callers.iter_mut().zip(&names) {
        assert!(!caller.has_received(), "a response before that of the slow call");
        // The connection is not read beyond the limit.
        assert_eq!(fleet.execution_log.count(&names[AHEAD + 1]), 0);
    }
    for (caller, names) in callers.iter_mut().zip(&names) {
        for name in names {
            let response = caller.response().await.unwrap();
            assert_eq!((response.status, &response.id), (200, name));
        }
    }
    fleet.close().await;
}

/// Guards against responses that go to the wrong request under load, and against early calls
/// that run once more at their turn. `orders` sends no second attempts on its own.
#[tokio::test(flavor = "multi_thread")]
async fn many_pipelined_calls_are_answered_in_order_and_run_once() {
    const CALLERS: usize = 8;
    const CALLS: usize = 200;
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let address = fleet.call_addresses()[0];
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(async move {
                let names: Vec<String> = (0..CALLS).map(|n| format!("{caller}-{n}")).collect();
                let request = |id: &String| get("orders", "/lookup", id, "x-work-us: 1000\r\n");
                let requests: String = names.iter().map(request).collect();
                let stream = TcpStream::connect(address).await.unwrap();
                let (read_half, mut write_half) = stream.into_split();
                // The caller sends on while it reads, in pieces that end within requests.
                let sender = tokio::spawn(async move {
                    for piece in requests.as_bytes().chunks(700) {
                        write_half.write_all(piece).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                    write_half
                });
                let mut received = Vec::new();
                let mut read_half = read_half;
                let mut responses = Vec::new();
                while responses.len() < CALLS {
                    assert!(read_half.read_buf(&mut received).await.unwrap() > 0);
                    responses = parse_ids(&received);
                }
                assert_eq!(responses, names);
                drop(sender.await.unwrap());
                names
            })
        })
        .collect();
    for caller in callers {
        for name in caller.await.unwrap() {
            assert_eq!(fleet.execution_log.count(&name), 1, "{name}");
        }
    }
    fleet.close().await;
}

/// Returns the ids in the bodies of the stand-in target's responses.
fn parse_ids(received: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(received);
    let lines = text.split_inclusive('\n').filter(|line| line.starts_with("vm-"));
    let lines = lines.filter(|line| line.ends_with(" 0\n"));
    lines.filter_map(|line| Some(line.split(' ').nth(1)?.to_owned())).collect()
}

/// Guards against calls that take slots, or run, after their caller has left: also if the
/// daemon has not read all that the caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_with_unread_bytes_cancels_all_its_calls() {
    const CALLS: usize = 8;
    /// Long calls take half of the 18 slots of the two targets, the others wait there.
    const CALLERS: usize = 2;
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let padding = format!("x-padding: {}\r\n", "a".repeat(4_000));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let calls: String = (0..CALLS).map(|n| slow(&format!("{caller}-{n}"))).collect();
        let unread: String =
            (0..8).map(|n| get("delivery", "/lookup", &format!("unread-{n}"), &padding)).collect();
        let mut connection = Caller::connect(fleet.call_addresses()[0]).await;
        connection.send(&(calls + &unread)).await;
        callers.push(connection);
    }
    wait("the calls to arrive", || calls_at_targets(&fleet) == (CALLERS * CALLS) as u32).await;
    drop(callers);
    wait("the calls to be cancelled", || calls_at_targets(&fleet) == 0).await;
    let executed = fleet.execution_log.total();
    assert!(executed < CALLERS * CALLS, "none had to wait: {executed}");
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(fleet.execution_log.total(), executed, "calls ran after their caller had left");
    // The daemon serves the next caller.
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    caller.send(&quick("next")).await;
    assert_eq!(caller.response().await.unwrap().id, "next");
    fleet.close().await;
}

/// Guards against a response that closes the connection, because too many are idle, in front
/// of calls that targets already run: they would never be answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closes_behind_the_last_call_that_was_handed_over() {
    const IDLE: usize = 20;
    const CALLS: usize = 8;
    let settings = format!("{READ_AHEAD}\nidle_connections = 0");
    let fleet = start_fleet(&[&settings]).await;
    let address = fleet.call_addresses()[0];
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.push(Caller::connect(address).await);
    }
    let names: Vec<String> = (0..CALLS).map(|n| format!("call-{n}")).collect();
    let call = |id: &String| get("orders", "/lookup", id, "x-work-us: 600000\r\n");
    let mut caller = Caller::connect(address).await;
    caller.send(&names.iter().map(call).collect::<String>()).await;
    wait("all calls to arrive", || calls_at_targets(&fleet) == CALLS as u32).await;
    let responses = caller.responses().await;
    assert_eq!(ids(&responses), names);
    let closes: Vec<bool> = responses.iter().map(|response| response.closes).collect();
    assert_eq!(closes, [vec![false; CALLS - 1], vec![true]].concat());
    for name in &names {
        assert_eq!(fleet.execution_log.count(name), 1, "{name}");
    }
    fleet.close().await;
}

/// Guards against a graceful shutdown that cancels calls which targets already run, and never
/// answers them.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_answers_all_calls_that_were_handed_over() {
    const CALLS: usize = 4;
    /// Time after which the daemon accepts no more calls.
    const ACCEPT_TIME: Duration = Duration::from_secs(3);
    let mut fleet = start_fleet(&[READ_AHEAD]).await;
    let names: Vec<String> = (0..CALLS).map(|n| format!("call-{n}")).collect();
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    caller.send(&names.iter().map(|id| slow(id)).collect::<String>()).await;
    wait("all calls to arrive", || calls_at_targets(&fleet) == CALLS as u32).await;
    let caller = async {
        tokio::time::sleep(ACCEPT_TIME).await;
        // It arrives too late to be handed over, and is left to the caller.
        caller.send(&get("orders", "/lookup", "late", "")).await;
        caller.responses().await
    };
    let (responses, ()) = tokio::join!(caller, fleet.close_daemon(0));
    assert_eq!(ids(&responses), names);
    let closes: Vec<bool> = responses.iter().map(|response| response.closes).collect();
    assert_eq!(closes, [vec![false; CALLS - 1], vec![true]].concat());
    for name in &names {
        assert_eq!(fleet.execution_log.count(name), 1, "{name}");
    }
    assert_eq!(fleet.execution_log.count("late"), 0);
    fleet.close().await;
}

/// Guards against a request whose body is not read, since it is rejected at once, and which
/// ends the connection in front of calls that targets already run.
#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_body_keeps_the_calls_behind_it() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let body = "a".repeat(40_000);
    let rejected = format!(
        "POST /none HTTP/1.1\r\nhost: none.talskrivarna\r\nx-request-id: none\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let call = |id: &str| get("orders", "/lookup", id, "x-work-us: 600000\r\n");
    // What comes last may end the framing of the connection.
    for (number, end) in ["", "GET /lookup\r\n\r\n"].into_iter().enumerate() {
        let [first, second, last] =
            ["first", "second", "last"].map(|id| call(&format!("{id}-{number}")));
        let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
        caller.send(&(first + &rejected + &second + &last + end)).await;
        wait("the calls behind it", || calls_at_targets(&fleet) == 3).await;
        let mut statuses = Vec::new();
        for _ in 0..4 {
            statuses.push(caller.response().await.map(|response| response.status));
        }
        assert_eq!(statuses, [Some(200), Some(404), Some(200), Some(200)], "{end}");
    }
    fleet.close().await;
}

/// Guards against calls that are started behind a body of which parts may stay unread, which
/// ends the connection.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_started_behind_a_body_that_has_not_arrived() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    let order = order("order", "x-work-us: 1500000\r\n");
    let (head, rest) = order.split_at(order.len() - 3);
    caller.send(head).await;
    tokio::time::sleep(SETTLE_TIME).await;
    caller.send(&(rest.to_owned() + &quick("behind"))).await;
    wait("the order to arrive", || calls_at_targets(&fleet) == 1).await;
    assert_eq!(fleet.execution_log.count("behind"), 0);
    assert_eq!(caller.response().await.unwrap().id, "order");
    assert_eq!(caller.response().await.unwrap().id, "behind");
    fleet.close().await;
}

/// Guards against calls that may not be repeated and are cancelled after they have begun, and
/// against calls that wait although they need not.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_waits_for_its_turn() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    // Shorter than the deadline of an order.
    let slow = get("delivery", "/packs/1", "slow", "x-work-us: 2000000\r\n");
    let requests = slow + &order("order", "") + &quick("quick");
    caller.send(&(requests + &order("second", "") + &quick("last"))).await;
    wait("the quick calls", || {
        ["quick", "last"].iter().all(|id| fleet.execution_log.count(id) > 0)
    })
    .await;
    assert!(!caller.has_received());
    assert_eq!(["order", "second"].map(|id| fleet.execution_log.count(id)), [0, 0]);
    for id in ["slow", "order", "quick", "second", "last"] {
        let response = caller.response().await.unwrap();
        assert_eq!((response.status, response.id.as_str()), (200, id));
        let sent_bytes = if ["order", "second"].contains(&id) { 6 } else { 0 };
        assert_eq!(response.received_bytes, sent_bytes);
    }
    assert_eq!(["order", "second"].map(|id| fleet.execution_log.count(id)), [1, 1]);
    fleet.close().await;
}

/// Guards against a call that runs after its deadline because it waited for its turn.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_deadline_passes_before_its_turn_is_not_handed_over() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    let late = order("late", "medlarpoint-deadline-ms: 300\r\n");
    caller.send(&(slow("slow") + &late + &quick("quick"))).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(caller.response().await.unwrap().status);
    }
    assert_eq!(statuses, [200, 503, 200]);
    assert_eq!(fleet.execution_log.count("late"), 0);
    fleet.close().await;
}

/// Guards against a body that is cut, or taken for requests, because only a part of it is read
/// ahead. It looks like requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_behind_an_unfinished_request_arrives_complete() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let caller = Caller::connect(fleet.call_addresses()[0]).await;
    let body = quick("within-the-body").repeat(4_000);
    let first = get("delivery", "/lookup", "first", "x-work-us: 300000\r\n");
    let upload = format!(
        "POST /orders HTTP/1.1\r\nhost: orders.talskrivarna\r\nx-request-id: upload\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let requests = [first, upload.clone(), upload.replace("upload", "again"), quick("last")];
    // The caller reads while it sends: the bodies exceed the buffers on the way.
    let (mut reader, mut writer) = tokio::io::split(caller.stream);
    let sender = tokio::spawn(async move {
        writer.write_all(requests.concat().as_bytes()).await.unwrap();
    });
    let mut received = Vec::new();
    let lines = [
        "first 0\n".to_owned(),
        format!("upload {}\n", body.len()),
        format!("again {}\n", body.len()),
        "last 0\n".to_owned(),
    ];
    let exchange = async {
        while !String::from_utf8_lossy(&received).contains(&lines[3]) {
            assert!(reader.read_buf(&mut received).await.unwrap() > 0, "the connection ended");
        }
    };
    tokio::time::timeout(WAIT_LIMIT, exchange).await.expect("no response");
    let text = String::from_utf8_lossy(&received).into_owned();
    let positions: Vec<usize> = lines.iter().map(|line| text.find(line).expect(&text)).collect();
    assert!(positions.is_sorted(), "{text}");
    assert_eq!(fleet.execution_log.count("within-the-body"), 0);
    sender.await.unwrap();
    fleet.close().await;
}

/// Guards against a connection over HTTP/2 that the framing delays or changes.
#[tokio::test(flavor = "multi_thread")]
async fn an_http2_connection_passes_through() {
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    /// Frame of type `SETTINGS` without parameters.
    const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
    /// Frame of type `PING` with the payload `medlar-1`, and the acknowledgement.
    const PING: &[u8] = b"\0\0\x08\x06\0\0\0\0\0medlar-1";
    const PONG: &[u8] = b"\0\0\x08\x06\x01\0\0\0\0medlar-1";
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut stream = TcpStream::connect(fleet.call_addresses()[0]).await.unwrap();
    let sent = [PREFACE, SETTINGS, PING].concat();
    for piece in sent.chunks(5) {
        stream.write_all(piece).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut received = Vec::new();
    let exchange = async {
        while !received.windows(PONG.len()).any(|bytes| bytes == PONG) {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0, "the connection ended");
        }
    };
    tokio::time::timeout(WAIT_LIMIT, exchange).await.expect("no response");
    fleet.close().await;
}

/// Guards against calls that run behind a request that the daemon rejects.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_request_is_rejected_and_nothing_behind_it_runs() {
    let fleet = start_fleet(&[READ_AHEAD]).await;
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    let first = get("delivery", "/lookup", "first", "x-work-us: 200000\r\n");
    caller.send(&(first + &quick("second") + "GET /lookup\r\n\r\n" + &quick("behind"))).await;
    let responses = caller.responses().await;
    let statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    assert_eq!((ids(&responses), statuses), (vec!["first", "second", ""], vec![200, 200, 400]));
    assert_eq!(fleet.execution_log.count("behind"), 0);
    fleet.close().await;
}

/// Guards against request smuggling: with read-ahead, the same requests run and get the same
/// responses as without.
#[tokio::test(flavor = "multi_thread")]
async fn smuggling_attempts_run_the_same_calls_as_without_read_ahead() {
    let fleet = start_fleet(&[READ_AHEAD, ""]).await;
    let host = "host: delivery.talskrivarna\r\n";
    let attempts = [
        ("both framings", "content-length: 4\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"),
        (
            "both framings, length last",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
            "0\r\n\r\n",
        ),
        ("other coding", "transfer-encoding: xchunked\r\ncontent-length: 5\r\n", "0\r\n\r\n"),
        ("coding with tab", "transfer-encoding:\tchunked\r\n", "0\r\n\r\n"),
        ("chunked", "transfer-encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        ("chunk of another size", "transfer-encoding: chunked\r\n", "2\r\nabc\r\n0\r\n\r\n"),
        ("folded length", "x: a\r\n content-length: 300\r\n", ""),
        ("bare line feed", "x: a\ncontent-length: 3\r\n", "abc"),
        ("bare line feeds", "x: a\ncontent-length: 3\n", "abc"),
        ("bare carriage return", "x: a\rcontent-length: 300\r\n", ""),
        ("two lengths", "content-length: 3\r\ncontent-length: 300\r\n", "abc"),
        ("one length twice", "content-length: 3\r\ncontent-length: 3\r\n", "abc"),
        ("list of lengths", "content-length: 3, 3\r\n", "abc"),
        ("signed length", "content-length: +3\r\n", "abc"),
        ("space before colon", "content-length : 3\r\n", "abc"),
        ("length too small", "content-length: 1\r\n", "abc"),
        ("length over the next request", "content-length: 170\r\n", ""),
        ("close", "connection: close\r\n", ""),
        ("empty line behind a body", "content-length: 3\r\n", "abc\r\n"),
    ];
    for (number, (name, headers, body)) in attempts.into_iter().enumerate() {
        for method in ["GET", "POST"] {
            let mut results = Vec::new();
            for daemon in 0..2 {
                let id = |part: &str| format!("{part}-{method}-{number}-{daemon}");
                let first = get("delivery", "/lookup", &id("first"), "x-work-us: 30000\r\n");
                let attempt = format!(
                    "{method} /lookup HTTP/1.1\r\n{host}x-request-id: {}\r\n{headers}\r\n{body}",
                    id("attempt")
                );
                // The connection ends at the last request if it has not ended before.
                let last = get("delivery", "/lookup", &id("last"), "connection: close\r\n");
                let mut caller = Caller::connect(fleet.call_addresses()[daemon]).await;
                caller.send(&(first + &attempt + &quick(&id("smuggled")) + &last)).await;
                let responses = caller.responses().await;
                let statuses: Vec<u16> = responses.iter().map(|r| r.status).collect();
                let parts = ["first", "attempt", "smuggled", "last"];
                // A call may run twice: the route has hedges.
                let ran = parts.map(|part| fleet.execution_log.count(&id(part)) > 0);
                results.push((statuses, ran));
            }
            assert_eq!(results[0], results[1], "{name} with {method}");
        }
    }
    fleet.close().await;
}

/// Guards against read-ahead where it was not switched on.
#[tokio::test(flavor = "multi_thread")]
async fn calls_run_one_at_a_time_by_default() {
    let fleet = start_fleet(&[""]).await;
    let mut caller = Caller::connect(fleet.call_addresses()[0]).await;
    let first = get("delivery", "/lookup", "first", "x-work-us: 1000000\r\n");
    caller.send(&(first + &quick("second"))).await;
    wait("the first call", || fleet.execution_log.count("first") == 1).await;
    assert_eq!(caller.response().await.unwrap().id, "first");
    assert_eq!(caller.response().await.unwrap().id, "second");
    let runs = ["first", "second"].map(|id| fleet.execution_log.executions(id)[0].clone());
    assert!(runs[1].at - runs[0].at >= Duration::from_millis(500), "they ran at the same time");
    fleet.close().await;
}
