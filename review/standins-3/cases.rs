//! The scripted cases of this review. `cases NAME FOLDER` runs one, writes `record.txt` into
//! the folder, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

mod lab;
use lab::*;

/// `StableWindowS` of [`BOUNDS`].
const STABLE_WINDOW_S: f64 = 3.0;

const HOST: &str = "shop.example";

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    let folder = PathBuf::from(folder);
    let result = match name.as_str() {
        "tail" => tail(&folder),
        _ => Err(io::Error::other("no such case")),
    };
    let code = result.unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(code);
}

/// Returns a configuration with the routes of one host.
fn config(version: u32, services: &[&str], routes: &[String]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":120,"Protocol":"h1","Tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"Version":{version},"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}},"VirtualHosts":[{{"Hostname":"{HOST}","Paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}

fn route(name: &str, prefix: &str, kind: &str, timeout_s: f64, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Prefix":"{prefix}","Type":"{kind}","TimeoutS":{timeout_s},"TargetLatencyS":0.6,"Priority":1,"Service":"{service}","Attempts":2,"Public":false}}"#
    )
}

/// Returns the head of a client's request.
fn head(method: &str, path: &str, id: &str, deadline_ms: u32, length: usize) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}

/// Describes what a client got.
fn describe(answer: &io::Result<Answer>) -> String {
    match answer {
        Ok(answer) if answer.complete => format!("answered {}", answer.status),
        Ok(answer) => format!("answered {}, not complete", answer.status),
        Err(error) => format!("not answered: {error}"),
    }
}

/// Waits until a first request of a client is served.
fn wait_served(lab: &Lab, node: &Node, path: &str) -> io::Result<()> {
    let next = AtomicUsize::new(0);
    lab.wait_for("a first answer", || {
        let id = format!("warm-{}-{}", node.vm, next.fetch_add(1, Ordering::SeqCst));
        exchange(node.calls, head("GET", path, &id, 2_000, 0).as_bytes(), 3.0)
            .is_ok_and(|answer| answer.status == 200)
    })
}

/// Servers that answer before they have read a long body, keep the connection and read on later.
fn tail(folder: &Path) -> io::Result<i32> {
    const UPLOAD_BYTES: usize = 8_000_000;
    const PAUSE_S: f64 = 1.0;
    const UPLOADS: usize = 3;
    let mut lab = Lab::start(folder)?;
    let record = lab.record.clone();
    let received: Arc<Mutex<Vec<(String, usize, bool)>>> = Arc::default();
    let trouble = lab.trouble;
    let work: Arc<Handler> = {
        let (record, received) = (record.clone(), Arc::clone(&received));
        Arc::new(move |arrival: &Arrival, stream: &mut TcpStream, pending: &mut Vec<u8>| {
            let id = &arrival.id;
            let answers_early = trouble && arrival.head.starts_with("POST");
            let answer = format!("{}ok", success(id, 2));
            if answers_early {
                record.line(&format!("a server runs {id} and answers it before its body is in"));
                stream.write_all(answer.as_bytes())?;
                sleep(PAUSE_S);
            }
            let mut body = Vec::new();
            let complete = read_body(stream, pending, &arrival.head, &mut body)?;
            if !answers_early {
                stream.write_all(answer.as_bytes())?;
            }
            if arrival.head.starts_with("POST") {
                let is_intact = complete && body.iter().all(|byte| *byte == b'u');
                let bytes = body.len();
                let end = if complete { "all of it" } else { "then the connection ended" };
                record.line(&format!("a server has read {bytes} bytes of {id}, {end}"));
                received.lock().unwrap().push((id.clone(), bytes, is_intact));
            }
            Ok(complete)
        })
    };
    let a = lab.node("vm-a", "zone-a", "region-a", "front")?;
    let b = lab.node("vm-b", "zone-a", "region-a", "orders")?;
    let routes = [
        route("orders", "/orders/", "non_idempotent", 8.0, "orders"),
        route("reads", "/reads/", "idempotent", 8.0, "orders"),
    ];
    lab.put("op/config", &config(1, &["front", "orders"], &routes))?;
    lab.wait_ready(&[&a, &b])?;
    let server = Server::start(&mut lab, "i-b", "zone-a", "orders", work)?;
    server.keep_reporting(b.control, server.address);
    wait_served(&lab, &a, "/reads/warm")?;
    sleep(STABLE_WINDOW_S + 0.5);
    let mut sent = Vec::new();
    for number in 0..UPLOADS {
        let id = format!("upload-{number}");
        let answer = upload(&record, a.calls, &id, UPLOAD_BYTES, 4.0)?;
        sent.push((id, answer));
        sleep(0.5);
    }
    let received = received.lock().unwrap();
    let mut lost = 0;
    for (id, answer) in &sent {
        let intact = received.iter().any(|(known, _, is_intact)| known == id && *is_intact);
        let succeeded = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        lost += usize::from(succeeded && !intact);
    }
    record.line(&format!(
        "{lost} of {UPLOADS} requests were sent in full and answered 200, and their servers got less"
    ));
    Ok(if lost > 0 { BROKEN } else { HELD })
}

/// Sends a request with a long body, and reads the answer meanwhile. Keeps the connection open
/// for some seconds once all of the body was sent.
fn upload(
    record: &Record,
    to: SocketAddr,
    id: &str,
    bytes: usize,
    kept_s: f64,
) -> io::Result<io::Result<Answer>> {
    let mut stream = TcpStream::connect(to)?;
    let mut reader = stream.try_clone()?;
    let reading = {
        let (record, id) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            let answer = read_answer(&mut reader, &mut Vec::new());
            record.line(&format!("client: {id}: {}", describe(&answer)));
            answer
        })
    };
    stream.write_all(head("POST", "/orders/big", id, 8_000, bytes).as_bytes())?;
    stream.write_all(&vec![b'u'; bytes])?;
    record.line(&format!("client: {id}: all {bytes} bytes of the body are sent"));
    let answer = reading.join().map_err(|_| io::Error::other("the upload has failed"))?;
    sleep(kept_s);
    record.line(&format!("client: {id}: closes its connection"));
    Ok(answer)
}
