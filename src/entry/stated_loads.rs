//! Exchanges between hosts the loads that upstreams of plain services state in their answers.

use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::upstreams::stated_load::ToldLoad;

/// Returns the statements for this host's next message to a relay or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> Vec<ToldLoad> {
    let is_plain = |service: &str| is_plain(host, service);
    host.upstreams
        .borrow_mut()
        .loads_to_report(host.now(), is_plain)
}

/// Adds what another host reports.
pub fn merge_report<P: Platform>(host: &Host<P>, reported: &[ToldLoad]) {
    let mut upstreams = host.upstreams.borrow_mut();
    upstreams.merge_told_loads(host.now(), reported, false);
}

/// Returns the statements for this host's reply to a host that `reported` some to it.
pub fn build_update<P: Platform>(host: &Host<P>, reported: &[ToldLoad]) -> Vec<ToldLoad> {
    let is_plain = |service: &str| is_plain(host, service);
    host.upstreams
        .borrow()
        .loads_to_tell(host.now(), reported, is_plain)
}

/// Applies the reply to a message that carried this host's report.
pub fn apply_update<P: Platform>(host: &Host<P>, told: &[ToldLoad]) {
    let mut upstreams = host.upstreams.borrow_mut();
    upstreams.merge_told_loads(host.now(), told, true);
}

/// Tells whether a service is known and its upstreams are no engines.
fn is_plain<P: Platform>(host: &Host<P>, service: &str) -> bool {
    let routes = host.routes.borrow();
    let service = routes
        .as_ref()
        .and_then(|table| table.services.get(service));
    service.is_some_and(|service| service.engine.is_none())
}
