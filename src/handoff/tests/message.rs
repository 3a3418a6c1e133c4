//! The messages between two hosts in their serialised form.

use crate::error::Ran;
use crate::handoff::message::to_frame;
use crate::handoff::{AnswerStart, HandedRequest, Offer, OfferReply};
use crate::handoff::{DeclineReason, message::HandedRefusal};
use crate::prelude::*;
use crate::resumption::message::SentVersion;
use crate::upstreams::Lifetime;
use std::fmt::Debug;

fn assert_returns<T>(message: T)
where
    T: Serialize + for<'de> Deserialize<'de> + Debug + PartialEq,
{
    let frame = to_frame(&message).expect("it can be serialised");
    let (length, body) = frame.split_at(4);
    assert_eq!(length, (body.len() as u32).to_be_bytes());
    assert_eq!(
        postcard::from_bytes::<T>(body).expect("it can be read"),
        message
    );
}

// Guards against a refusal that the first host can't read and takes for a lost answer.
#[test]
fn every_message_is_read_as_it_was_written() {
    assert_returns(Offer {
        service: "s".into(),
        model: None,
        software_version: Some("v1".into()),
        version: 7,
        body_bytes: 3,
    });
    assert_returns(OfferReply::Accepted);
    assert_returns(OfferReply::Declined(DeclineReason::OutOfReach));
    assert_returns(HandedRequest {
        head: b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        body: b"abc".to_vec(),
        left_ms: Millis(900),
        first_byte_left_ms: Millis(800),
        sends: 1,
        runs: 0,
        resume_after: Some("4".to_string()),
        software_version: None,
    });
    assert_returns(AnswerStart::Answered { version: None });
    let lifetime = Lifetime {
        id: "u1".into(),
        born_at: Millis(7),
    };
    let version = SentVersion {
        version: "v1".into(),
        start: Some((lifetime, Millis(30))),
    };
    assert_returns(AnswerStart::Answered {
        version: Some(version),
    });
    assert_returns(AnswerStart::OutOfReach);
    for kind in ErrorKind::ALL {
        let refusal = Refusal::new(kind, "why").with_retry_after(Millis(300));
        assert_returns(AnswerStart::Refused((&refusal).into()));
        let refusal = HandedRefusal::from(&Refusal::new(kind, "why"));
        let read = Refusal::from(refusal.clone());
        assert_eq!(HandedRefusal::from(&read), refusal);
        assert_eq!(read.ran == Ran::NotRun, refusal.ran == Ran::NotRun);
    }
}
