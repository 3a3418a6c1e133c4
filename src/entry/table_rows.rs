//! Applies rows of the platform's tables to this host's state, and writes the log lines about them.

use crate::desired::{DesiredState, RouteTable};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Platform, RowValue, Table, TableRow};
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use crate::upstreams::registry::Change;
use std::net::SocketAddr;
use std::rc::Rc;

/// The fields of a log line about a table of the platform.
#[derive(Serialize)]
pub struct TableLine<'a> {
    /// The name of the table.
    pub table: &'static str,
    /// What is wrong with it; empty when the event says it.
    pub error: &'a str,
}

#[derive(Serialize)]
struct DesiredLine {
    version: u64,
    routes: usize,
    services: usize,
    former: Option<u64>,
    /// The host that passed the state on; none when it was read from the store.
    from: Option<SocketAddr>,
    /// The position of its record, or of the end of the table at the host that passed it on.
    position: Position,
    /// For how long this host had known that the table has newer records than its copy; none if the
    /// state itself was the first sign.
    known_behind_ms: Option<Millis>,
}

/// By which way a desired state came to this host.
#[derive(Clone, Copy, Debug)]
pub struct DesiredOrigin {
    /// The host that passed it on; none when it was read from the store.
    pub from: Option<SocketAddr>,
    /// The position of its record, or of the end of the table at the host that passed it on.
    pub position: Position,
}

#[derive(Serialize)]
struct ListLine {
    upstreams: usize,
    from: Option<SocketAddr>,
}

#[derive(Serialize)]
struct UpstreamLine<'a> {
    upstream: &'a str,
    change: &'static str,
    position: Option<Position>,
    service: Option<&'a str>,
    models: Vec<&'a str>,
}

/// The whole list of upstreams, read or fetched at once.
pub struct UpstreamList {
    /// The time as of which the list is at least as new as the store's, by this host's clock.
    pub as_of: Millis,
    /// The relay that sent the list; none when it was read from the store.
    pub from: Option<SocketAddr>,
    /// The entries of the upstreams.
    pub entries: Vec<UpstreamEntry>,
    /// The keys under which the newest record is unreadable.
    pub unreadable: Vec<Name>,
    /// Whether upstreams that it lacks have no entry.
    pub is_whole: bool,
}

/// Applies a changed row of a table.
pub fn apply_row<P: Platform>(host: &Host<P>, table: Table, row: TableRow) {
    match table {
        Table::Desired => apply_desired_row(host, row),
        Table::Upstreams => apply_upstream_row(host, row),
    }
}

/// Applies the newest rows of all keys of a table.
pub fn apply_table<P: Platform>(host: &Host<P>, table: Table, rows: Vec<TableRow>) {
    match table {
        Table::Desired => rows
            .into_iter()
            .for_each(|row| apply_desired_row(host, row)),
        Table::Upstreams => apply_list(host, list_from_rows(host.now(), rows)),
    }
}

/// Applies the newest rows of some keys of a table. Other rows stay as they are.
pub fn apply_known_rows<P: Platform>(host: &Host<P>, table: Table, rows: Vec<TableRow>) {
    match table {
        Table::Desired => apply_table(host, table, rows),
        Table::Upstreams => {
            let is_removed = |row: &TableRow| row.value == RowValue::Removed;
            let (removed, rows): (Vec<_>, Vec<_>) = rows.into_iter().partition(is_removed);
            removed
                .into_iter()
                .for_each(|row| apply_upstream_row(host, row));
            let list = list_from_rows(host.now(), rows);
            // A host that knows no upstream cannot tell that there is none.
            if host.upstreams_known.get() || !list.entries.is_empty() {
                let is_whole = false;
                apply_list(host, UpstreamList { is_whole, ..list });
            }
        }
    }
}

/// Writes a log line about each record of a table that is no row of it.
pub fn log_unusable(table: Table, reasons: &[String]) {
    for why in reasons {
        log_unreadable(table, why);
    }
}

fn apply_desired_row<P: Platform>(host: &Host<P>, row: TableRow) {
    match row.value {
        RowValue::Desired(state) => {
            let origin = DesiredOrigin {
                from: None,
                position: row.position,
            };
            activate_desired_state(host, Arc::new(state), origin);
        }
        RowValue::Unreadable(why) => log_unreadable(Table::Desired, &why),
        RowValue::Upstream(_) | RowValue::Removed => {}
    }
}

fn log_unreadable(table: Table, why: &str) {
    let line = TableLine {
        table: table.name(),
        error: why,
    };
    lines::write(LogEvent::RecordUndecodable, &line);
}

/// Puts a desired state in force if its version is higher than the present one. Within the life of
/// a process no version is replaced by a lower one.
pub fn activate_desired_state<P: Platform>(
    host: &Host<P>,
    state: Arc<DesiredState>,
    origin: DesiredOrigin,
) {
    let former = active_version(host);
    if former.is_some_and(|former| former >= state.version) {
        return;
    }
    host.replication.share_desired(state.clone());
    let table = RouteTable::new(Arc::unwrap_or_clone(state));
    let line = DesiredLine {
        version: table.version,
        routes: table.route_count(),
        services: table.services.len(),
        former,
        from: origin.from,
        position: origin.position,
        known_behind_ms: host.replication.behind_ms(host.now(), Table::Desired),
    };
    host.limits
        .borrow_mut()
        .organisations
        .retain_limited(&table.rate_limits);
    host.orders.borrow_mut().note_desired(&table);
    *host.routes.borrow_mut() = Some(Rc::new(table));
    if host.version_exchange.note_taken(line.version) && !host.is_orderer() {
        host.request_sync();
    }
    lines::write(LogEvent::DesiredTaken, &line);
    host.note_change();
}

/// Returns the version of the desired state that is in force at this host.
pub fn active_version<P: Platform>(host: &Host<P>) -> Option<u64> {
    host.routes.borrow().as_ref().map(|table| table.version)
}

fn list_from_rows(as_of: Millis, rows: Vec<TableRow>) -> UpstreamList {
    let mut list = UpstreamList {
        as_of,
        from: None,
        entries: Vec::new(),
        unreadable: Vec::new(),
        is_whole: true,
    };
    for row in rows {
        match row.value {
            RowValue::Upstream(entry) => list.entries.push(entry),
            RowValue::Unreadable(why) => {
                log_unreadable(Table::Upstreams, &why);
                list.unreadable.push(row.key);
            }
            RowValue::Desired(_) | RowValue::Removed => {}
        }
    }
    list
}

/// Replaces the list of upstreams, or adds to it if the given one is not whole. The first list of this process is one line of the log, later
/// lists are one line for each change.
pub fn apply_list<P: Platform>(host: &Host<P>, list: UpstreamList) {
    let line = ListLine {
        upstreams: list.entries.len(),
        from: list.from,
    };
    let changes = replace_upstreams(host, list);
    if host.upstreams_known.replace(true) {
        for (id, change) in changes {
            note_upstream_change(host, &id, &change, None);
        }
    } else {
        lines::write(LogEvent::ListTaken, &line);
    }
    host.note_change();
}

fn replace_upstreams<P: Platform>(host: &Host<P>, list: UpstreamList) -> Vec<(Name, Change)> {
    let mut registry = host.upstreams.borrow_mut();
    if list.is_whole {
        registry.note_list_reached(list.as_of);
    }
    let dropped = list.unreadable.into_iter().map(|id| {
        let change = registry.drop_unreadable(&id);
        (id, change)
    });
    let mut changes: Vec<(Name, Change)> = dropped.collect();
    changes.extend(match list.is_whole {
        true => registry.replace(host.now(), list.entries),
        false => registry.add_entries(host.now(), list.entries),
    });
    changes
}

fn apply_upstream_row<P: Platform>(host: &Host<P>, row: TableRow) {
    let change = match row.value {
        RowValue::Upstream(entry) => host.upstreams.borrow_mut().put(entry),
        RowValue::Removed => host.upstreams.borrow_mut().remove(host.now(), &row.key),
        RowValue::Unreadable(why) => {
            log_unreadable(Table::Upstreams, &why);
            // The newest record under this key is no upstream's, so the key stands for none until
            // an upstream writes again.
            host.upstreams.borrow_mut().drop_unreadable(&row.key)
        }
        RowValue::Desired(_) => return,
    };
    note_upstream_change(host, &row.key, &change, Some(row.position));
    host.note_change();
}

/// Writes the log line about a change of an upstream. When its process has ended, drops the
/// connections to it and what is known of models that it lacks.
pub fn note_upstream_change<P: Platform>(
    host: &Host<P>,
    id: &str,
    change: &Change,
    position: Option<Position>,
) {
    if matches!(change, Change::Gone | Change::Restarted) {
        host.pool.close_idle(id);
        host.orderer_state.borrow_mut().forget_lacking(id);
    }
    let (event, change) = match change {
        Change::Added => (LogEvent::UpstreamRegistered, "added"),
        Change::Restarted => (LogEvent::UpstreamRegistered, "started again under its name"),
        Change::Leaving => (LogEvent::UpstreamLeaving, "leaving"),
        Change::Gone => (LogEvent::UpstreamGone, "gone"),
        Change::Retained => (LogEvent::UpstreamSilent, "entry lapsed in an outage"),
        Change::Updated => (LogEvent::UpstreamUpdated, "updated"),
        Change::Unchanged => return,
    };
    let upstreams = host.upstreams.borrow();
    let entry = upstreams.get(id).map(|upstream| &upstream.entry);
    let models = entry.map(|entry| entry.models.iter().map(|held| &*held.name).collect());
    let line = UpstreamLine {
        upstream: id,
        change,
        position,
        service: entry.map(|entry| &*entry.service),
        models: models.unwrap_or_default(),
    };
    lines::write(event, &line);
}

/// Writes the log line about an upstream that is no longer used.
pub fn log_upstream_gone(id: &str, change: &'static str) {
    let line = UpstreamLine {
        upstream: id,
        change,
        position: None,
        service: None,
        models: Vec::new(),
    };
    lines::write(LogEvent::UpstreamGone, &line);
}
