//! What each binary does on its own.

mod common;

use common::{Place, SETTINGS};
use std::env;
use std::net::{TcpListener, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const SIGABRT: i32 = 6;
const PANIC_VARIABLE: &str = "MANGOVALE_TEST_PANIC";

/// Settings whose three addresses are `ports`, with keys beside them.
fn place_with(ports: [u16; 3], more: &str) -> Place {
    let place = Place::new();
    place
        .tool(&["keys", "--directory", "keys", "--host", "entry-1"])
        .exits_with(0);
    let mut settings = SETTINGS.replace("[log]", &format!("[log]\n{more}"));
    for (usual, port) in ["7000", "7001", "7002"].into_iter().zip(ports) {
        let address = |port: &str| format!("listen = \"127.0.0.1:{port}\"");
        settings = settings.replace(&address(usual), &address(&port.to_string()));
    }
    place.file("entry-1.toml", &settings);
    place
}

#[test]
fn a_port_in_use_is_named_with_its_key() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken_udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let port_udp = taken_udp.local_addr().expect("an address").port();
    let (a, b) = (free_port(), free_port());
    for (ports, key) in [
        ([port, a, b], "(caller_listen)"),
        ([a, port_udp, b], "(peer_listen, UDP)"),
        ([a, b, port], "(operator_listen)"),
    ] {
        place_with(ports, "")
            .daemon(&["--settings", "entry-1.toml"])
            .exits_with(1)
            .says("cannot listen on 127.0.0.1:")
            .says(key)
            .says("next: end the process that uses the address");
    }
}

/// Finds a port that nobody listens on, below the range from which outgoing connections take theirs,
/// and another one at each call.
fn free_port() -> u16 {
    const FIRST: u16 = 10_000;
    const SPAN: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (std::process::id().wrapping_mul(61).wrapping_add(number) % SPAN) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

#[test]
fn a_missing_key_file_is_named() {
    let place = place_with([free_port(), free_port(), free_port()], "");
    std::fs::remove_file(place.path().join("keys/entry-1.key")).expect("the key was made");
    place
        .daemon(&["--settings", "entry-1.toml"])
        .exits_with(1)
        .says("cannot read keys/entry-1.key")
        .says("next: check the files under [keys]");
}

#[test]
fn a_log_file_that_cannot_be_written_is_named() {
    let place = place_with([7000, 7001, 7002], "file = \"entry-1.toml/log\"");
    place
        .daemon(&["--settings", "entry-1.toml"])
        .exits_with(1)
        .says("cannot write the log file entry-1.toml/log");
}

#[test]
fn a_panic_in_a_task_ends_the_process_with_a_log_event() {
    if env::var(PANIC_VARIABLE).is_ok() {
        panic_in_a_task();
        return;
    }
    let output = Command::new(env::current_exe().expect("this program has a path"))
        .args(["a_panic_in_a_task", "--nocapture"])
        .env(PANIC_VARIABLE, "1")
        .output()
        .expect("this program can be started");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.signal(), Some(SIGABRT), "{errors}");
    assert!(errors.contains("ERROR E104 Panicked"), "{errors}");
}

fn panic_in_a_task() {
    let log = mangovale::settings::LogSettings::default();
    mangovale::daemon::process_log::start(&log).expect("the log can be started");
    mangovale::daemon::process_log::abort_on_panic();
    smol::block_on(smol::spawn(async { panic!("a defect in a task") }));
}

#[test]
fn a_missing_site_says_how_to_give_it() {
    Place::new()
        .tool(&["hosts"])
        .exits_with(1)
        .says("--site: give it, or set MANGOVALE_SITE")
        .says("next: see --help");
}

#[test]
fn a_site_that_is_no_address_is_refused() {
    let place = Place::new();
    place.file("token", "t");
    let run = place.tool(&["hosts", "--site", "localhost", "--token-file", "token"]);
    run.exits_with(1)
        .says("--site: takes http://host:port, not localhost");
}

#[test]
fn a_missing_token_file_is_named() {
    let run = Place::new().tool(&["hosts", "--site", "http://127.0.0.1:1,nothing"]);
    run.exits_with(1).says("nothing: No such file");
}

#[test]
fn a_host_that_does_not_answer_has_its_own_exit_code() {
    let host = format!("http://127.0.0.1:{}", free_port());
    let run = Place::new().tool(&["health", "--host", &host]);
    run.exits_with(3)
        .says("cannot connect")
        .says("next: check the address");
}

#[test]
fn send_wants_either_a_model_or_a_service() {
    let run = Place::new().tool(&[
        "send",
        "--host",
        "http://127.0.0.1:1",
        "--key",
        "k",
        "hello",
    ]);
    run.exits_with(1)
        .says("--model, --service: give one of the two");
}

#[test]
fn the_error_kinds_are_printed() {
    let place = Place::new();
    place.tool(&["errors"]).exits_with(0).prints("cut_off");
    let run = place.tool(&["errors", "--json"]).exits_with(0);
    let kinds: Vec<serde_json::Value> = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(kinds.len(), mangovale::error::ErrorKind::ALL.len());
}

#[test]
fn a_kind_has_the_same_name_everywhere() {
    for kind in mangovale::error::ErrorKind::ALL {
        let name = serde_json::to_value(kind).expect("JSON");
        assert_eq!(name, kind.name());
    }
}

#[test]
fn secrets_are_readable_by_their_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let place = Place::new();
    let arguments = [
        "keys",
        "--directory",
        "k",
        "--host",
        "h",
        "--operator",
        "o",
        "--brand",
        "b",
    ];
    let run = place.tool(&arguments).exits_with(0);
    for file in ["fleet.key", "h.key", "o.token", "b.key"] {
        let path = place.path().join("k").join(file);
        let mode = std::fs::metadata(&path)
            .expect("a file")
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{file}");
        let secret = std::fs::read_to_string(&path).expect("a file");
        assert!(!run.out.contains(secret.trim()), "{file} was printed");
    }
}

#[test]
fn a_trace_that_is_none_is_refused() {
    let place = Place::new();
    place.file("x.trace", "{}");
    place
        .tool(&["replay", "x.trace"])
        .exits_with(1)
        .says("this is no trace of release");
}

#[test]
fn every_command_shows_an_example() {
    let place = Place::new();
    let commands = [
        "keys",
        "check-settings",
        "health",
        "hosts",
        "placements",
        "send",
        "dump",
        "trace",
        "replay",
        "errors",
    ];
    for command in commands {
        place
            .tool(&[command, "--help"])
            .exits_with(0)
            .prints("Examples:");
    }
    for action in ["show", "edit", "history"] {
        place
            .tool(&["table", action, "--help"])
            .exits_with(0)
            .prints("Examples:");
    }
}
