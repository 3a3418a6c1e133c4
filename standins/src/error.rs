//! Errors that end a stand-in, and refusals that it answers to a caller.

use std::net::SocketAddr;

use serde::Serialize;
use snafu::Snafu;

/// Why a stand-in could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StandInError {
    /// The listening address could not be bound.
    #[snafu(display("cannot listen on {listen}: {source}"))]
    Listen {
        /// The address asked for.
        listen: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A command-line value makes no sense.
    #[snafu(display("bad argument: {detail}"))]
    Argument {
        /// What is wrong.
        detail: String,
    },
}

/// The closed list of refusals; each has one status and one code.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Refusal {
    /// The request is malformed.
    #[snafu(display("{detail}"))]
    BadRequest {
        /// What is wrong.
        detail: String,
    },
    /// No such path or object.
    #[snafu(display("not_found"))]
    NotFound,
    /// The body exceeds the bound.
    #[snafu(display("too_large"))]
    TooLarge,
    /// A rate bound is exceeded.
    #[snafu(display("rate"))]
    Rate,
    /// A queue or table is full.
    #[snafu(display("busy"))]
    Busy,
    /// The stand-in is leaving.
    #[snafu(display("leaving"))]
    Leaving,
    /// The model is not ready on the engine.
    #[snafu(display("not_loaded"))]
    NotLoaded,
    /// The base of an adapter is not ready on the engine.
    #[snafu(display("base_not_loaded"))]
    BaseNotLoaded,
    /// The engine no longer holds the request.
    #[snafu(display("gone"))]
    Gone,
    /// The order's fencing number is too low.
    #[snafu(display("fenced"))]
    Fenced {
        /// The highest number taken for the model.
        highest: u64,
    },
    /// There is no room for the copy.
    #[snafu(display("memory"))]
    Memory,
    /// The records asked for are no longer retained.
    #[snafu(display("trimmed"))]
    Trimmed {
        /// The oldest retained offset.
        oldest_offset: u64,
        /// The next offset to be appended.
        end_offset: u64,
    },
    /// The request was cancelled after it had started.
    #[snafu(display("cancelled"))]
    Cancelled,
    /// The stand-in plays an outage.
    #[snafu(display("outage"))]
    Outage,
    /// The stand-in turns requests away for a time.
    #[snafu(display("resting"))]
    Resting {
        /// For how long the caller should send nothing.
        retry_after_s: u64,
    },
}

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
pub struct RefusalBody {
    error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    highest: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    oldest_offset: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    end_offset: Option<u64>,
}

impl Refusal {
    /// Builds a refusal of a malformed request.
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::BadRequest {
            detail: detail.into(),
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest { .. } => 400,
            Self::NotFound | Self::NotLoaded | Self::Gone => 404,
            Self::Fenced { .. } | Self::Cancelled => 409,
            Self::Trimmed { .. } => 410,
            Self::TooLarge => 413,
            Self::BaseNotLoaded => 422,
            Self::Rate | Self::Busy => 429,
            Self::Leaving | Self::Outage | Self::Resting { .. } => 503,
            Self::Memory => 507,
        }
    }

    /// Reports whether nothing was run.
    pub fn not_run(&self) -> bool {
        !matches!(self, Self::Cancelled)
    }

    /// Returns the JSON body of the refusal.
    pub fn body(&self) -> RefusalBody {
        let mut body = RefusalBody {
            error: self.to_string(),
            highest: None,
            oldest_offset: None,
            end_offset: None,
        };
        match *self {
            Self::Fenced { highest } => body.highest = Some(highest),
            Self::Trimmed {
                oldest_offset,
                end_offset,
            } => {
                body.oldest_offset = Some(oldest_offset);
                body.end_offset = Some(end_offset);
            }
            _ => {}
        }
        body
    }
}
