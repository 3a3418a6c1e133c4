//! Calls between hosts need a listed certificate on both sides.

use super::site::{bind_peers, on_site, sync_request_from};
use crate::entry::peers;
use crate::entry::resumption::streams::Streams;
use crate::ordering::message::{PeerCall, PeerReply, SyncReply, SyncRequest};
use crate::prelude::*;
use std::rc::Rc;

fn sync_call() -> PeerCall {
    PeerCall::Sync(SyncRequest {
        is_for_orderer: true,
        ..sync_request_from(1)
    })
}

#[test]
fn calls_succeed_only_if_both_hosts_accept_each_other() {
    on_site(|site| async move {
        let shared = Arc::new(smol::Executor::new());
        let (answering, asking) = (bind_peers(&shared), bind_peers(&shared));
        let serve = peers::serve(
            site.host.clone(),
            answering.clone(),
            Rc::new(Streams::new(None)),
            site.executor.clone(),
        );
        site.executor.spawn(serve).detach();
        let address = answering.address().expect("an address");
        let test = async {
            let only = |fingerprint: &Name| [fingerprint.clone()].into_iter().collect();
            assert!(
                asking.call(address, &sync_call()).await.is_none(),
                "neither host accepts the other"
            );
            asking.accepted.replace(only(&answering.fingerprint));
            assert!(
                asking.call(address, &sync_call()).await.is_none(),
                "the answering host does not accept the asking one"
            );
            answering.accepted.replace(only(&asking.fingerprint));
            asking.accepted.replace(IndexSet::new());
            assert!(
                asking.call(address, &sync_call()).await.is_none(),
                "the asking host does not accept the answering one"
            );
            asking.accepted.replace(only(&answering.fingerprint));
            let reply = asking.call(address, &sync_call()).await;
            assert!(matches!(
                reply,
                Some(PeerReply::Sync(SyncReply::NotOrderer { .. }))
            ));
        };
        shared.run(test).await;
    });
}
