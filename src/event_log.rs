//! Log events with fixed numbers, as listed in `docs/EVENTS.md`.

use crate::daemon::process_log::LOG_TARGET;
use log::Level;

/// An event that a daemon writes to its process log under a fixed number.
///
/// A new event must also be added to [`LogEvent::ALL`] and `docs/EVENTS.md`; `tests/events.rs`
/// checks this. Unless it says process log, "log" means the shared log of the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum LogEvent {
    /// The daemon started.
    Started = 100,
    /// The daemon joined the group of hosts and has applied the log up to its end.
    Joined = 101,
    /// The daemon began an orderly stop.
    StopBegan = 102,
    /// The daemon stopped.
    Stopped = 103,
    /// A task panicked, and the process exits at once.
    Panicked = 104,
    /// The changed settings are in effect.
    SettingsReloaded = 105,
    /// The changed settings are invalid; the former ones stay in effect.
    SettingsRejected = 106,
    /// The log cannot be reached.
    LogLost = 200,
    /// The log can be reached again.
    LogBack = 201,
    /// The log trimmed the next record before this host read it.
    LogTrimmed = 202,
    /// A record of the log, or an entry of a list that other programs write, could not be decoded.
    RecordUndecodable = 203,
    /// It is unknown whether an append to the log took effect.
    AppendUnknown = 204,
    /// This host appended a checkpoint to the log.
    CheckpointWritten = 205,
    /// This host restored its state from a checkpoint.
    CheckpointRead = 206,
    /// The log ends before the last record that this host applied.
    LogShorter = 207,
    /// A newer release wrote a record that this host cannot apply, so it stops serving.
    RecordNewer = 208,
    /// An answer of the store shows that it was restored from an older copy.
    StoreRestored = 209,
    /// This host's copy of a table is of an earlier era of the store, and the table is read anew.
    TableOutdated = 210,
    /// A read of a whole table did not reach its last page.
    TableIncomplete = 211,
    /// This host no longer knows whether its state is up to date.
    BecameStale = 300,
    /// This host knows again that its state is up to date.
    BecameFresh = 301,
    /// The process did not run for longer than the settings allow.
    Paused = 302,
    /// A peer has been silent for too long and is suspected to have failed.
    PeerSuspected = 303,
    /// A host was evicted from the group.
    HostEvicted = 304,
    /// A peer's connection was refused in its handshake, for instance because of an invalid
    /// certificate.
    PeerRefused = 305,
    /// This host was evicted while it ran, and joins again as a new incarnation.
    Rejoining = 306,
    /// The members of the group of hosts changed.
    MembersChanged = 307,
    /// An edit of the table was accepted when its record was applied.
    EditAccepted = 400,
    /// An edit of the table was rejected when its record was applied.
    EditRejected = 401,
    /// An edit of the table is in force at every host.
    EditInForce = 402,
    /// A version of the desired state is in force at this host.
    DesiredTaken = 403,
    /// Another host has a newer desired state than this one, and this one has not taken it yet.
    DesiredBehind = 404,
    /// The load of a model was decided.
    LoadDecided = 500,
    /// A copy of a model is ready for requests.
    CopyReady = 501,
    /// The load of a model failed.
    LoadFailed = 502,
    /// The unload of a copy was decided.
    UnloadDecided = 503,
    /// A copy no longer exists.
    CopyGone = 504,
    /// This host took over an order from another host.
    OrderTakenOver = 505,
    /// This host stopped sending an order, as another host took it over.
    OrderRelinquished = 506,
    /// A copy is to be unloaded regardless of the demand for it.
    CopyRetired = 507,
    /// An idle copy is to be unloaded to free memory for another model.
    CopyEvicted = 508,
    /// This host acquired the lease of the orderer, which orders loads.
    LeaseTaken = 509,
    /// This host no longer holds the lease of the orderer.
    LeaseEnded = 510,
    /// An order was sent to an engine.
    OrderSent = 511,
    /// The outcome of an order is known.
    OrderEnded = 512,
    /// The orderer read the state of an engine again.
    EngineRead = 513,
    /// Another host became the orderer.
    OrdererChanged = 514,
    /// An engine's report could not be read.
    ReportFailed = 515,
    /// An upstream was registered.
    UpstreamRegistered = 600,
    /// An upstream announced that it is leaving, in its list entry or in an answer.
    UpstreamLeaving = 601,
    /// An upstream does not answer or cannot be reached.
    UpstreamSilent = 602,
    /// An upstream is no longer used.
    UpstreamGone = 603,
    /// The list entry of an upstream changed.
    UpstreamUpdated = 604,
    /// An upstream crashed while it ran requests of this host.
    UpstreamCrashed = 605,
    /// An upstream reported a changed limit of requests per second, or no limit any more.
    UpstreamLimited = 606,
    /// This host received the list of upstreams.
    ListTaken = 607,
    /// An upstream turned a request away and wants no further ones from this host for some time.
    UpstreamResting = 608,
    /// This host reaches no upstream of a service any more.
    PathsLost = 609,
    /// This host reaches an upstream of a service again.
    PathsRegained = 610,
    /// Requests of an organisation wait for its rate limit, or none waits any more.
    LimitQueueChanged = 611,
    /// A request of a caller was refused.
    RequestRefused = 700,
    /// An attempt of a request at an upstream failed.
    AttemptFailed = 701,
    /// It is unknown whether an upstream ran a request.
    OutcomeUnknown = 702,
    /// A request was answered completely.
    RequestAnswered = 703,
    /// A request ended without a complete answer.
    RequestFailed = 704,
    /// A caller disconnected before its answer was complete.
    CallerGone = 705,
    /// A broken stream was resumed at another upstream, or could not be resumed.
    StreamResumed = 706,
    /// A request was not sent, because upstreams that run it crash.
    RequestQuarantined = 707,
    /// A caller took an interrupted stream up.
    StreamTakenUp = 708,
    /// Records of which software version began a stream were not sent to a host that keeps them.
    StreamRecordsUnsent = 709,
    /// The connection to an upstream ended while it ran a request.
    RunInterrupted = 710,
    /// Requests that share this are no longer sent, because upstreams that run them crash.
    CauseHeld = 711,
    /// Requests that share this are sent again.
    CauseReleased = 712,
    /// This host read what the store keeps about streams.
    StreamStoreRead = 713,
    /// The store did not answer a call about streams as expected.
    StreamStoreFailed = 714,
    /// This host claimed an operation, so that no other host runs it.
    ClaimMade = 800,
    /// The claim of an operation ended.
    ClaimEnded = 801,
}

impl LogEvent {
    /// Every event, in ascending order of the numbers.
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
        Self::StoreRestored,
        Self::TableOutdated,
        Self::TableIncomplete,
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
        Self::DesiredBehind,
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
        Self::UpstreamResting,
        Self::PathsLost,
        Self::PathsRegained,
        Self::LimitQueueChanged,
        Self::RequestRefused,
        Self::AttemptFailed,
        Self::OutcomeUnknown,
        Self::RequestAnswered,
        Self::RequestFailed,
        Self::CallerGone,
        Self::StreamResumed,
        Self::RequestQuarantined,
        Self::StreamTakenUp,
        Self::StreamRecordsUnsent,
        Self::RunInterrupted,
        Self::CauseHeld,
        Self::CauseReleased,
        Self::StreamStoreRead,
        Self::StreamStoreFailed,
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
            | Self::StoreRestored
            | Self::TableIncomplete
            | Self::BecameStale
            | Self::Paused
            | Self::PeerSuspected
            | Self::PeerRefused
            | Self::DesiredBehind
            | Self::LoadFailed
            | Self::UpstreamSilent
            | Self::UpstreamCrashed
            | Self::PathsLost
            | Self::RequestQuarantined
            | Self::CauseHeld
            | Self::OutcomeUnknown
            | Self::SettingsRejected
            | Self::RequestFailed
            | Self::StreamStoreFailed => Level::Warn,
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
