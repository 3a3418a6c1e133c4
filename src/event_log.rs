//! Numbered log events. `docs/EVENTS.md` is their catalogue.

use crate::daemon::process_log::LOG_TARGET;
use log::Level;

/// Something a daemon reports in its log under a fixed number.
///
/// A new one also goes into [`LogEvent::ALL`] and `docs/EVENTS.md`; `tests/events.rs` checks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum LogEvent {
    /// The daemon started.
    Started = 100,
    /// The daemon joined and is caught up.
    Joined = 101,
    /// A planned stop began.
    StopBegan = 102,
    /// The daemon stopped.
    Stopped = 103,
    /// A task panicked; the process ends at once.
    Panicked = 104,
    /// Changed settings are in effect.
    SettingsReloaded = 105,
    /// Changed settings cannot be used.
    SettingsRejected = 106,
    /// The log cannot be reached.
    LogLost = 200,
    /// The log can be reached again.
    LogBack = 201,
    /// The next record was trimmed before it was read.
    LogTrimmed = 202,
    /// A record could not be decoded.
    RecordUndecodable = 203,
    /// An append's outcome is unknown.
    AppendUnknown = 204,
    /// A checkpoint was appended.
    CheckpointWritten = 205,
    /// The state was taken from a checkpoint.
    CheckpointRead = 206,
    /// The log ends before what was applied.
    LogShorter = 207,
    /// A newer release wrote a record; this host stops serving before it.
    RecordNewer = 208,
    /// This host stopped being fresh.
    BecameStale = 300,
    /// This host is fresh again.
    BecameFresh = 301,
    /// The process was paused.
    Paused = 302,
    /// A peer is suspected.
    PeerSuspected = 303,
    /// A host was evicted.
    HostEvicted = 304,
    /// A peer was refused for its certificate.
    PeerRefused = 305,
    /// This host was taken for dead and comes back as another incarnation.
    Rejoining = 306,
    /// The group of hosts has other members.
    MembersChanged = 307,
    /// An edit was accepted by the fold.
    EditAccepted = 400,
    /// An edit was rejected by the fold.
    EditRejected = 401,
    /// An edit is in force everywhere.
    EditInForce = 402,
    /// A version of the desired state is in force at this host.
    DesiredTaken = 403,
    /// A load was decided.
    LoadDecided = 500,
    /// A copy became ready.
    CopyReady = 501,
    /// A load failed.
    LoadFailed = 502,
    /// An unload was decided.
    UnloadDecided = 503,
    /// A copy is gone.
    CopyGone = 504,
    /// An order was taken over.
    OrderTakenOver = 505,
    /// An order that another host took over is sent no more.
    OrderRelinquished = 506,
    /// A copy is to go whatever the demand for it.
    CopyRetired = 507,
    /// An idle copy is to go for another model.
    CopyEvicted = 508,
    /// This host took the lease to order loads.
    LeaseTaken = 509,
    /// This host orders loads no longer.
    LeaseEnded = 510,
    /// An order was sent to an engine.
    OrderSent = 511,
    /// What became of an order is known.
    OrderEnded = 512,
    /// The orderer read an engine anew.
    EngineRead = 513,
    /// Another host orders loads.
    OrdererChanged = 514,
    /// An engine's report could not be read.
    ReportFailed = 515,
    /// An upstream was registered.
    UpstreamRegistered = 600,
    /// An upstream is leaving.
    UpstreamLeaving = 601,
    /// An upstream does not answer.
    UpstreamSilent = 602,
    /// An upstream is used no longer.
    UpstreamGone = 603,
    /// The entry of an upstream changed.
    UpstreamUpdated = 604,
    /// An upstream ended while it ran requests of this host.
    UpstreamCrashed = 605,
    /// An upstream named another limit of requests a second than before, or none any more.
    UpstreamLimited = 606,
    /// This host has the list of upstreams.
    ListTaken = 607,
    /// A request was refused.
    RequestRefused = 700,
    /// An attempt failed.
    AttemptFailed = 701,
    /// An outcome is unknown.
    OutcomeUnknown = 702,
    /// A request has its whole answer.
    RequestAnswered = 703,
    /// A request ended without a whole answer.
    RequestFailed = 704,
    /// A caller left before the answer was whole.
    CallerGone = 705,
    /// A broken stream went on at another upstream, or could not.
    StreamResumed = 706,
    /// A request was not sent, because upstreams crash that run it.
    RequestQuarantined = 707,
    /// A claim was made for an operation.
    ClaimMade = 800,
    /// A claim ended.
    ClaimEnded = 801,
}

impl LogEvent {
    /// Every event, in the order of the numbers.
    pub const ALL: &[Self] = &[
        Self::Started,
        Self::Joined,
        Self::StopBegan,
        Self::Stopped,
        Self::Panicked,
        Self::SettingsReloaded,
        Self::SettingsRejected,
        Self::LogLost,
        Self::LogBack,
        Self::LogTrimmed,
        Self::RecordUndecodable,
        Self::AppendUnknown,
        Self::CheckpointWritten,
        Self::CheckpointRead,
        Self::LogShorter,
        Self::RecordNewer,
        Self::BecameStale,
        Self::BecameFresh,
        Self::Paused,
        Self::PeerSuspected,
        Self::HostEvicted,
        Self::PeerRefused,
        Self::Rejoining,
        Self::MembersChanged,
        Self::EditAccepted,
        Self::EditRejected,
        Self::EditInForce,
        Self::DesiredTaken,
        Self::LoadDecided,
        Self::CopyReady,
        Self::LoadFailed,
        Self::UnloadDecided,
        Self::CopyGone,
        Self::OrderTakenOver,
        Self::OrderRelinquished,
        Self::CopyRetired,
        Self::CopyEvicted,
        Self::LeaseTaken,
        Self::LeaseEnded,
        Self::OrderSent,
        Self::OrderEnded,
        Self::EngineRead,
        Self::OrdererChanged,
        Self::ReportFailed,
        Self::UpstreamRegistered,
        Self::UpstreamLeaving,
        Self::UpstreamSilent,
        Self::UpstreamGone,
        Self::UpstreamUpdated,
        Self::UpstreamCrashed,
        Self::UpstreamLimited,
        Self::ListTaken,
        Self::RequestRefused,
        Self::AttemptFailed,
        Self::OutcomeUnknown,
        Self::RequestAnswered,
        Self::RequestFailed,
        Self::CallerGone,
        Self::StreamResumed,
        Self::RequestQuarantined,
        Self::ClaimMade,
        Self::ClaimEnded,
    ];

    /// Returns the event's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the level at which the event is logged.
    pub const fn level(self) -> Level {
        match self {
            Self::Panicked => Level::Error,
            Self::LogLost
            | Self::LogTrimmed
            | Self::RecordUndecodable
            | Self::AppendUnknown
            | Self::LogShorter
            | Self::RecordNewer
            | Self::BecameStale
            | Self::Paused
            | Self::PeerSuspected
            | Self::PeerRefused
            | Self::LoadFailed
            | Self::UpstreamSilent
            | Self::UpstreamCrashed
            | Self::RequestQuarantined
            | Self::OutcomeUnknown
            | Self::SettingsRejected
            | Self::RequestFailed => Level::Warn,
            Self::RequestRefused | Self::AttemptFailed | Self::ClaimMade | Self::ClaimEnded => {
                Level::Debug
            }
            _ => Level::Info,
        }
    }

    /// Writes the event with its number, name and details to the process log.
    pub fn write(self, details: &str) {
        log::log!(target: LOG_TARGET, self.level(), "E{} {:?} {details}", self.number(), self);
    }
}
