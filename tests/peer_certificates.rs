//! Checks that a host answers only peers whose certificates its own fleet's authority has signed.

use mangovale::cli::keys;
use mangovale::cli::options::KeysOptions;
use mangovale::daemon::event::Event;
use mangovale::edge::event_loop_handle::{EventLoopHandle, Input};
use mangovale::edge::peer::PeerEndpoint;
use mangovale::membership::message::{PeerReply, PeerRequest};
use mangovale::settings::KeySettings;
use mangovale::shared_log::record::Offset;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;

const REQUEST: PeerRequest = PeerRequest::Records { from: Offset(0) };

fn make_keys(directory: &Path) -> KeySettings {
    let options = KeysOptions {
        directory: directory.to_path_buf(),
        host: vec!["entry".to_string()],
        operator: Vec::new(),
        brand: Vec::new(),
    };
    keys::make(&options).expect("keys can be created");
    KeySettings {
        fleet_certificate: directory.join("fleet.pem"),
        host_certificate: directory.join("entry.pem"),
        host_key: directory.join("entry.key"),
        operator_token_sha256: Vec::new(),
    }
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("a bound address")
}

#[test]
fn a_peer_with_the_certificate_of_another_fleet_gets_no_answer() {
    let directory = tempfile::TempDir::new().expect("a temporary directory");
    let own = make_keys(&directory.path().join("own"));
    let other = make_keys(&directory.path().join("other"));
    // Trusts this fleet, but presents a certificate of the other one.
    let mixed = KeySettings {
        fleet_certificate: own.fleet_certificate.clone(),
        ..other.clone()
    };
    let address = free_address();
    let server = PeerEndpoint::bind(address, &own).expect("the server can be bound");
    let (gate, inputs) = EventLoopHandle::new();
    smol::spawn(server.serve(gate.clone())).detach();
    smol::spawn(async move {
        while let Ok(input) = inputs.recv().await {
            if let Input::Event(Event::PeerAsked { call, .. }) = input {
                let reply = PeerReply::Records {
                    records: Vec::new(),
                    next_offset: Offset(0),
                };
                gate.answer_peer(call, reply);
            }
        }
    })
    .detach();
    let ask = |keys: &KeySettings| {
        let client = PeerEndpoint::bind(free_address(), keys).expect("the client can be bound");
        smol::block_on(client.ask(address, &REQUEST))
    };
    assert!(ask(&own).is_some());
    assert!(ask(&other).is_none());
    assert!(ask(&mixed).is_none());
}
