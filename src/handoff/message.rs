//! The messages of a request that is handed to another host, in the order in which they are sent.
//! Each is preceded by its length as four bytes, big-endian.

use crate::entry::platform::ModelRef;
use crate::error::Ran;
use crate::prelude::*;
use crate::resumption::message::SentVersion;

/// The longest offer and the longest reply to one.
pub const MAX_OFFER_BYTES: usize = 4 << 10;
/// The longest start of an answer; a refusal has a short text.
pub const MAX_ANSWER_START_BYTES: usize = 4 << 10;
/// The most bytes of a handed request beside its body.
pub const MAX_HEAD_BYTES: usize = 96 << 10;

/// Asks another host whether it takes a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The service that the request was routed to.
    pub service: Name,
    /// The model that the request asks for, if the service's upstreams are engines.
    pub model: Option<ModelRef>,
    /// The software version that the upstream must have, where an interrupted stream goes on.
    pub software_version: Option<Name>,
    /// The version of the desired state that the request was routed by. A host that has an older
    /// one must not serve it.
    pub version: u64,
    /// The length of the body.
    pub body_bytes: u64,
}

/// The reply to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferReply {
    /// The host takes the request.
    Accepted,
    /// The host does not take it.
    Declined(DeclineReason),
}

/// Why a host does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// It reaches no upstream either that could serve the request.
    OutOfReach,
    /// It serves as many requests of other hosts, or holds as many bytes, as it may.
    Full,
    /// It has an older desired state than the request was routed by.
    Behind,
    /// It stops.
    Stopping,
}

impl DeclineReason {
    /// Returns the reason's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OutOfReach => "out_of_reach",
            Self::Full => "full",
            Self::Behind => "behind",
            Self::Stopping => "stopping",
        }
    }
}

/// An accepted request. The first host has taken its cost from the limits already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRequest {
    /// The head as the caller sent it, in the form of HTTP/1.1.
    pub head: Vec<u8>,
    /// The complete body, without transfer coding.
    pub body: Vec<u8>,
    /// The time until the final answer must be complete.
    pub left_ms: Millis,
    /// The time until the caller gives up unless the answer has begun.
    pub first_byte_left_ms: Millis,
    /// How many sends the first host made that an upstream may have read.
    pub sends: u32,
    /// How many of these may have run the request.
    pub runs: u32,
    /// The id of the last event that the caller has, where an interrupted stream is resumed.
    pub resume_after: Option<String>,
    /// The software version that the upstream must have, where an interrupted stream goes on.
    pub software_version: Option<Name>,
}

/// A refusal in a form that needs no field names. It names no other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRefusal {
    /// The kind of the error.
    pub kind: ErrorKind,
    /// What happened, as a short text for people.
    pub message: String,
    /// How long the caller should wait before a retry.
    pub retry_after_ms: Option<Millis>,
    /// Whether anything was run.
    pub ran: Ran,
}

impl From<&Refusal> for HandedRefusal {
    fn from(refusal: &Refusal) -> Self {
        let Refusal {
            kind,
            message,
            retry_after_ms,
            ran,
            try_hosts: _,
        } = refusal.clone();
        Self {
            kind,
            message,
            retry_after_ms,
            ran,
        }
    }
}

impl From<HandedRefusal> for Refusal {
    fn from(refusal: HandedRefusal) -> Self {
        let HandedRefusal {
            kind,
            message,
            retry_after_ms,
            ran,
        } = refusal;
        Self {
            retry_after_ms,
            ran,
            ..Self::new(kind, message)
        }
    }
}

/// What the answer to a handed request begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerStart {
    /// An upstream's answer follows in the form of HTTP/1.1.
    Answered {
        /// The software version of the upstream; none if the host does not know it.
        version: Option<SentVersion>,
    },
    /// The request is refused; nothing follows.
    Refused(HandedRefusal),
    /// The host found out that it reaches no upstream either; the request has not run.
    OutOfReach,
}

/// Serialises a message with its length in front.
///
/// # Errors
///
/// Returns why it cannot be serialised.
pub fn to_frame(message: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(message)?;
    let length = u32::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    Ok(frame)
}
