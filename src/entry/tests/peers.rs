//! Only hosts that the group lists are answered.

use super::site::{bind_peers, on_site, sync_ask};
use crate::entry::peers;
use crate::ordering::message::{PeerCall, PeerReply, SyncReply, SyncRequest};
use crate::prelude::*;

fn ask() -> PeerCall {
    PeerCall::Sync(SyncRequest {
        is_for_orderer: true,
        ..sync_ask(1)
    })
}

#[test]
fn a_host_that_the_group_does_not_list_gets_no_answer() {
    on_site(|site| async move {
        let shared = Arc::new(smol::Executor::new());
        let (answering, asking) = (bind_peers(&shared), bind_peers(&shared));
        let serve = peers::serve(site.host.clone(), answering.clone(), site.executor.clone());
        site.executor.spawn(serve).detach();
        let address = answering.address().expect("an address");
        let test = async {
            let only = |fingerprint: &Name| [fingerprint.clone()].into_iter().collect();
            assert!(
                asking.call(address, &ask()).await.is_none(),
                "neither knows the other"
            );
            asking.known.replace(only(&answering.fingerprint));
            assert!(
                asking.call(address, &ask()).await.is_none(),
                "the answering one does not know the asking one"
            );
            answering.known.replace(only(&asking.fingerprint));
            asking.known.replace(IndexSet::new());
            assert!(
                asking.call(address, &ask()).await.is_none(),
                "the asking one does not know the answering one"
            );
            asking.known.replace(only(&answering.fingerprint));
            let reply = asking.call(address, &ask()).await;
            assert!(matches!(
                reply,
                Some(PeerReply::Sync(SyncReply::NotOrderer { .. }))
            ));
        };
        shared.run(test).await;
    });
}
