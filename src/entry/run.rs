//! Starts an entry host and its tasks, handles signals, and applies changed settings.

use crate::clock::Clock;
use crate::entry::active_request::CallerContext;
use crate::entry::directory::{self, Endpoint};
use crate::entry::handoff::Handoffs;
use crate::entry::host::Host;
use crate::entry::members;
use crate::entry::metrics::EntryMetrics;
use crate::entry::peers::{self, Peers};
use crate::entry::platform::{Platform, Table};
use crate::entry::resumption::store::keep_in_store;
use crate::entry::resumption::streams::{Streams, send_records, send_to_writers};
use crate::entry::settings::EntrySettings;
use crate::entry::table_sources::TableSources;
use crate::entry::{
    budgeted_log, caller, desired_exchange, follow, lease_manager, lines, orderer, places, stop,
    sync, table_rows,
};
use crate::group::Member;
use crate::prelude::*;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::net::TcpListener;
use smol::{Executor, LocalExecutor, Timer};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// How often expired idle connections and expired upstream entries are removed.
const SWEEP_MS: Millis = Millis(500);
/// How often the settings file is read again without SIGHUP.
const SETTINGS_RELOAD_MS: Millis = Millis(5_000);

/// Why an entry host cannot run.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} ({key}): {source}"))]
    Listen {
        /// The settings key that holds the address.
        key: &'static str,
        /// The address that was tried.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The log or the metrics cannot be set up.
    #[snafu(display("cannot set up {what}: {why}"))]
    Setup {
        /// The part that failed: `the log` or `metrics`.
        what: &'static str,
        /// The error, as text.
        why: String,
    },
}

impl EntryError {
    /// Returns what the operator should do next, in one sentence.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Listen { .. } => "end the process that uses the address, or change the setting",
            Self::Signals { .. } | Self::Setup { .. } => "report this with the message above",
        }
    }
}

#[derive(Serialize)]
struct StartLine<'a> {
    host: &'a str,
    data_centre: &'a str,
    release: &'static str,
    callers: SocketAddr,
    incarnation: String,
}

#[derive(Serialize)]
struct SettingsLine<'a> {
    result: &'a str,
}

/// Installs the handlers of the signals that a host acts on. Until then a signal ends the process, so
/// this comes before anything else that takes time.
///
/// # Errors
///
/// Returns why the handlers cannot be installed.
pub fn install_signal_handlers() -> Result<Signals, EntryError> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context(SignalsSnafu)
}

/// Runs an entry host until a planned stop is over.
///
/// `signals` are those of [`install_signal_handlers`]; the ones that came meanwhile are acted on.
/// `path` is the settings file, which is read again while the host runs. `reconnect` is called
/// with the new settings when the address of the platform's store has changed.
///
/// # Errors
///
/// Returns why the host cannot start.
pub fn run<P: Platform + 'static>(
    settings: EntrySettings,
    path: PathBuf,
    signals: Signals,
    platform: P,
    reconnect: impl Fn(&P, &EntrySettings) + 'static,
) -> Result<(), EntryError> {
    let clock = Clock::start();
    budgeted_log::start(clock).map_err(|why| EntryError::Setup {
        what: "the log",
        why,
    })?;
    let metrics = EntryMetrics::new().map_err(|why| EntryError::Setup {
        what: "metrics",
        why,
    })?;
    // QUIC tasks must be `Send` and cannot share state through `Rc`, so they have an executor of
    // their own on the same thread.
    let shared = Arc::new(Executor::new());
    let peers = Peers::bind(settings.peer_listen, shared.clone())?;
    let host = Host::new(settings, platform, clock, metrics, peers.accepted.clone());
    let executor = Rc::new(LocalExecutor::new());
    let main = start(host, executor.clone(), peers, path, signals, reconnect);
    smol::block_on(shared.run(executor.run(main)))
}

async fn start<P: Platform + 'static>(
    host: Rc<Host<P>>,
    executor: Rc<LocalExecutor<'static>>,
    peers: Rc<Peers>,
    path: PathBuf,
    signals: Signals,
    reconnect: impl Fn(&P, &EntrySettings) + 'static,
) -> Result<(), EntryError> {
    let settings = host.settings();
    let incarnation = host.incarnation;
    let line = StartLine {
        host: &settings.name,
        data_centre: &settings.data_centre,
        release: crate::daemon::run::RELEASE,
        callers: settings.caller_listen,
        incarnation: format!("{incarnation:x}"),
    };
    lines::write(LogEvent::Started, &line);
    // The servers that answer questions about this host, one listening address for each.
    let questions = [
        (
            "directory_listen",
            settings.directory_listen,
            Endpoint::Directory,
        ),
        ("ready_listen", settings.ready_listen, Endpoint::Ready),
        ("metrics_listen", settings.metrics_listen, Endpoint::Metrics),
    ];
    for (key, address, questions) in questions {
        let listener = listen(key, address).await?;
        let answer = directory::serve(host.clone(), executor.clone(), listener, questions);
        executor.spawn(answer).detach();
    }
    let callers = listen("caller_listen", settings.caller_listen).await?;
    let me = Member {
        caller_address: settings.caller_listen,
        peer_address: settings.peer_listen,
        data_centre: settings.data_centre.clone(),
        incarnation,
        fingerprint: peers.fingerprint.clone(),
        cpu_millicores: settings.cpu_millicores(),
    };
    let sources = TableSources {
        peers: peers.clone(),
        me: me.clone(),
    };
    let handoffs = Rc::new(Handoffs::new(peers.clone(), me.clone()));
    host.places.connect(peers.clone());
    let streams = Rc::new(Streams::new(Some((peers.clone(), me.clone()))));
    let context = CallerContext {
        handoffs: Some(handoffs.clone()),
        streams: streams.clone(),
    };
    let tasks = [
        executor.spawn(caller::accept(
            host.clone(),
            executor.clone(),
            callers,
            context,
        )),
        executor.spawn(follow::follow(
            host.clone(),
            Table::Desired,
            Some(sources.clone()),
        )),
        executor.spawn(follow::follow(
            host.clone(),
            Table::Upstreams,
            Some(sources),
        )),
        executor.spawn(sweep(host.clone(), handoffs.clone(), streams.clone())),
        executor.spawn(orderer::plan(host.clone(), me.clone(), executor.clone())),
        executor.spawn(sync::sync(host.clone(), peers.clone(), me.clone())),
        executor.spawn(desired_exchange::fetch_newer(host.clone(), peers.clone())),
        executor.spawn(desired_exchange::exchange_with_neighbours(
            host.clone(),
            peers.clone(),
            me.clone(),
            executor.clone(),
        )),
        executor.spawn(peers::serve(
            host.clone(),
            peers.clone(),
            streams.clone(),
            executor.clone(),
        )),
        executor.spawn(send_records(streams.clone(), executor.clone())),
        executor.spawn(send_to_writers(streams.clone(), executor.clone())),
        executor.spawn(keep_in_store(host.clone(), streams)),
        executor.spawn(places::send_updates(host.clone(), executor.clone())),
        executor.spawn(watch_signals(host.clone(), signals, path, reconnect)),
    ];
    let members = executor.spawn(members::maintain_membership(host.clone(), me.clone()));
    let lease = executor.spawn(lease_manager::manage_lease(
        host.clone(),
        peers.clone(),
        me,
        handoffs.clone(),
    ));
    stop::wait(&host).await;
    drop((members, lease));
    drop(tasks);
    peers.close();
    log::logger().flush();
    // Gives the thread that writes the log time for the last lines.
    Timer::after(Millis(20).to_duration()).await;
    Ok(())
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { key, address })
}

async fn sweep<P: Platform>(host: Rc<Host<P>>, handoffs: Rc<Handoffs>, streams: Rc<Streams>) {
    loop {
        Timer::after(SWEEP_MS.to_duration()).await;
        let now = host.now();
        host.pool.expire(now);
        handoffs.expire(now);
        streams.sweep(&host);
        desired_exchange::report_behind(&host);
        places::sweep(&host);
        let expired = host.upstreams.borrow_mut().expire(now);
        for id in &expired {
            host.pool.close_idle(id);
            table_rows::log_upstream_gone(id, "its entry did not come back after an outage");
        }
    }
}

async fn watch_signals<P: Platform>(
    host: Rc<Host<P>>,
    mut signals: Signals,
    path: PathBuf,
    reconnect: impl Fn(&P, &EntrySettings),
) {
    loop {
        let next = async { signals.next().await.and_then(Result::ok) };
        let timer = async {
            Timer::after(SETTINGS_RELOAD_MS.to_duration()).await;
            Some(Signal::Hup)
        };
        match futures_lite::future::or(next, timer).await {
            Some(Signal::Hup) => reload(&host, &path, &reconnect),
            Some(_) => host.begin_stop(),
            None => {}
        }
    }
}

/// Reads the settings file again. Changed limits and times of the platform (`bounds`) and a changed
/// address of the store take effect. The addresses that this host listens on change only when the
/// process is started again. A file that cannot be read or fails its checks changes nothing and is
/// logged.
pub fn reload<P: Platform>(host: &Host<P>, path: &Path, reconnect: &impl Fn(&P, &EntrySettings)) {
    let settings = match EntrySettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            let result = &error.to_string();
            lines::write(LogEvent::SettingsRejected, &SettingsLine { result });
            return;
        }
    };
    let previous = host.settings();
    if *previous == settings {
        return;
    }
    if previous.store != settings.store {
        reconnect(&host.platform, &settings);
    }
    lines::write(
        LogEvent::SettingsReloaded,
        &SettingsLine {
            result: "in effect",
        },
    );
    let applied = EntrySettings {
        caller_listen: previous.caller_listen,
        directory_listen: previous.directory_listen,
        ready_listen: previous.ready_listen,
        peer_listen: previous.peer_listen,
        metrics_listen: previous.metrics_listen,
        ..settings
    };
    *host.settings.borrow_mut() = Rc::new(applied);
}
