//! Answers of plain services that break off in each framing, and what callers see of them.

use mangovale_bench::process::wait_for;
use mangovale_bench::site::Site;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
/// How long a caller waits for more bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// How an upstream ends the connection after its last byte.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
}

/// Answers every request on a new connection with these bytes, and ends the connection.
fn start_upstream(answer: String, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut request = [0; 4096];
            // The request has no body, so it comes in one piece.
            let _request_bytes = stream.read(&mut request);
            let _is_sent = stream.write_all(answer.as_bytes());
            match ending {
                Ending::Close => {
                    let _is_closed = stream.shutdown(Shutdown::Both);
                }
                Ending::Reset => {
                    std::thread::sleep(Duration::from_millis(50));
                    let reset =
                        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
                    reset.expect("the option is supported");
                }
            }
        }
    });
    address
}

/// Starts a site whose only service has one upstream, which ends its answers early.
fn start_site(answer: String, ending: Ending) -> Site {
    let site = Site::plan().hosts(1).start();
    let entry = json!({
        "name": "raw-1",
        "role": "service",
        "address": start_upstream(answer, ending).to_string(),
        "data_centre": "here",
        "state": "live",
    });
    let listed = site.host_list.admin_post("/hosts", &entry);
    assert!(listed.is_success(), "{listed:?}");
    site.put_service("work", &["raw-1"], &["north"]);
    site
}

/// Calls the service and returns all bytes of the answer.
fn call(host: SocketAddr) -> String {
    let mut stream = TcpStream::connect(host).expect("the host listens");
    let timeout = Some(READ_TIMEOUT);
    stream.set_read_timeout(timeout).expect("it is supported");
    let request = format!(
        "GET /services/work/x HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer north-key\r\n\
         connection: close\r\nx-deadline-ms: 3000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    let mut bytes = Vec::new();
    // A connection that breaks leaves what was read before.
    let _is_closed = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the first answer that came from the upstream, or a failure that says it was asked.
fn answer(site: &Site) -> String {
    let mut answer = String::new();
    wait_for("an answer of the upstream", || {
        answer = call(site.hosts[0].caller);
        !answer.contains("no_capacity")
    });
    answer
}

// Guards against a stream that was broken off and is passed on as a whole one, or with an error
// event that becomes a part of the event before.
#[test]
fn a_stream_of_a_service_that_breaks_off_does_not_look_complete() {
    let chunked = format!("{EVENTS}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        (
            format!("{chunked}40\r\nid: 1\ndata: a\n\nid: 2\nda"),
            Ending::Close,
        ),
        (
            format!("{chunked}f\r\nid: 1\ndata: a\n\n\r\n"),
            Ending::Close,
        ),
        (
            format!("{chunked}17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n0\r\n\r\n"),
            Ending::Close,
        ),
        (
            format!("{EVENTS}\r\nid: 1\ndata: a\n\nid: 2\nda"),
            Ending::Close,
        ),
        (format!("{EVENTS}\r\nid: 1\ndata: a\n\n"), Ending::Reset),
        (
            format!("{EVENTS}Content-Length: 500\r\n\r\nid: 1\ndata: a\n\n"),
            Ending::Close,
        ),
        (format!("{EVENTS}\r\n"), Ending::Close),
    ];
    for (sent, ending) in cases {
        let site = start_site(sent.clone(), ending);
        let got = answer(&site);
        let is_refused = !got.starts_with("HTTP/1.1 200");
        let is_cut = !got.ends_with("0\r\n\r\n");
        let tells_error = got.contains("\n\n\r\n") && got.contains("\r\nevent: error\n");
        assert!(
            is_refused || is_cut || tells_error,
            "{sent}\n{ending:?}\n{got}"
        );
        assert!(!got.contains("daevent"), "{sent}\n{got}");
    }
}

// Guards against an answer that is read whole before it is passed on, and was not whole.
#[test]
fn an_answer_of_a_service_that_breaks_off_is_not_passed_on() {
    let cases = [
        (
            format!("{JSON}Transfer-Encoding: chunked\r\n\r\n40\r\n{{\"a\":"),
            Ending::Close,
        ),
        (
            format!("{JSON}Transfer-Encoding: chunked\r\n\r\n5\r\n{{\"a\":\r\n"),
            Ending::Close,
        ),
        (
            format!("{JSON}Content-Length: 500\r\n\r\n{{\"a\":"),
            Ending::Close,
        ),
        (format!("{JSON}\r\n{{\"a\":"), Ending::Reset),
    ];
    for (sent, ending) in cases {
        let site = start_site(sent.clone(), ending);
        let got = answer(&site);
        assert!(
            !got.starts_with("HTTP/1.1 200"),
            "{sent}\n{ending:?}\n{got}"
        );
    }
}

// Guards against taking every answer that ends with its connection for a broken one.
#[test]
fn a_stream_of_a_service_that_ends_with_its_connection_after_an_event_is_complete() {
    let site = start_site(format!("{EVENTS}\r\nid: 1\ndata: a\n\n"), Ending::Close);
    let got = answer(&site);
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    assert!(!got.contains("event: error"), "{got}");
}
