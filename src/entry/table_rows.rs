//! What rows of the platform's tables change at this host, and the log lines about it.

use crate::desired::{DesiredState, RouteTable};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Platform, RowValue, Table, TableRow};
use crate::entry::sources::is_source;
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use crate::upstreams::registry::Change;
use std::net::SocketAddr;
use std::rc::Rc;

/// A line about a table of the platform.
#[derive(Serialize)]
pub struct TableLine<'a> {
    /// The table's name.
    pub table: &'static str,
    /// What is wrong with it.
    pub error: &'a str,
}

#[derive(Serialize)]
struct DesiredLine {
    version: u64,
    routes: usize,
    services: usize,
    former: Option<u64>,
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
    offset: Option<u64>,
    service: Option<&'a str>,
    models: Vec<&'a str>,
}

/// A whole list of upstreams.
pub struct WholeList {
    /// When it was no older than the store's.
    pub as_of: Millis,
    /// The relay that gave it; nothing when it was read from the store.
    pub from: Option<SocketAddr>,
    /// The entries.
    pub entries: Vec<UpstreamEntry>,
    /// The names under which stands what names no upstream.
    pub unreadable: Vec<Name>,
}

/// Takes a row of a table.
pub fn take_row<P: Platform>(host: &Host<P>, table: Table, row: TableRow) {
    match table {
        Table::Desired => take_desired(host, row),
        Table::Upstreams => take_upstream(host, row),
    }
}

/// Takes the newest rows of all keys of a table.
pub fn take_table<P: Platform>(host: &Host<P>, table: Table, rows: Vec<TableRow>) {
    match table {
        Table::Desired => rows.into_iter().for_each(|row| take_desired(host, row)),
        Table::Upstreams => take_list(host, list_of(host.now(), rows)),
    }
}

fn take_desired<P: Platform>(host: &Host<P>, row: TableRow) {
    match row.value {
        RowValue::Desired(state) => put_in_force(host, Arc::new(state)),
        RowValue::Unreadable(why) => note_unreadable(Table::Desired, &why),
        RowValue::Upstream(_) | RowValue::Removed => {}
    }
}

fn note_unreadable(table: Table, why: &str) {
    let line = TableLine {
        table: table.name(),
        error: why,
    };
    lines::write(LogEvent::RecordUndecodable, &line);
}

/// Takes a desired state with a higher version; within one life of a process no version is replaced by a lower.
pub fn put_in_force<P: Platform>(host: &Host<P>, state: Arc<DesiredState>) {
    let former = host.routes.borrow().as_ref().map(|table| table.version);
    if former.is_some_and(|former| former >= state.version) {
        return;
    }
    host.followed
        .keep_desired(is_source(host).then(|| state.clone()));
    let table = RouteTable::new(Arc::unwrap_or_clone(state));
    let line = DesiredLine {
        version: table.version,
        routes: table.route_count(),
        services: table.services.len(),
        former,
    };
    host.limits
        .borrow_mut()
        .organisations
        .keep_known(&table.rate_limits);
    *host.routes.borrow_mut() = Some(Rc::new(table));
    lines::write(LogEvent::DesiredTaken, &line);
    host.note_change();
}

fn list_of(as_of: Millis, rows: Vec<TableRow>) -> WholeList {
    let mut list = WholeList {
        as_of,
        from: None,
        entries: Vec::new(),
        unreadable: Vec::new(),
    };
    for row in rows {
        match row.value {
            RowValue::Upstream(entry) => list.entries.push(entry),
            RowValue::Unreadable(why) => {
                note_unreadable(Table::Upstreams, &why);
                list.unreadable.push(row.key);
            }
            RowValue::Desired(_) | RowValue::Removed => {}
        }
    }
    list
}

/// Takes a whole list. This host's first one is one line of the log, later ones are a line for each change.
pub fn take_list<P: Platform>(host: &Host<P>, list: WholeList) {
    let line = ListLine {
        upstreams: list.entries.len(),
        from: list.from,
    };
    let changes = replace_upstreams(host, list);
    if host.upstreams_known.replace(true) {
        for (id, change) in changes {
            note_upstream(host, &id, &change, None);
        }
    } else {
        lines::write(LogEvent::ListTaken, &line);
    }
    host.note_change();
}

fn replace_upstreams<P: Platform>(host: &Host<P>, list: WholeList) -> Vec<(Name, Change)> {
    let mut registry = host.upstreams.borrow_mut();
    registry.note_list_reached(list.as_of);
    let dropped = list.unreadable.into_iter().map(|id| {
        let change = registry.drop_unreadable(&id);
        (id, change)
    });
    let mut changes: Vec<(Name, Change)> = dropped.collect();
    changes.extend(registry.replace(host.now(), list.entries));
    changes
}

fn take_upstream<P: Platform>(host: &Host<P>, row: TableRow) {
    let change = match row.value {
        RowValue::Upstream(entry) => host.upstreams.borrow_mut().put(entry),
        RowValue::Removed => host.upstreams.borrow_mut().remove(host.now(), &row.key),
        RowValue::Unreadable(why) => {
            note_unreadable(Table::Upstreams, &why);
            // The newest entry under the name is no upstream's, so the name stands for none until one writes again.
            host.upstreams.borrow_mut().drop_unreadable(&row.key)
        }
        RowValue::Desired(_) => return,
    };
    note_upstream(host, &row.key, &change, Some(row.offset));
    host.note_change();
}

/// Writes the line about a change of an upstream, and forgets what was known of a start that is over.
pub fn note_upstream<P: Platform>(
    host: &Host<P>,
    id: &str,
    change: &Change,
    offset: Option<Offset>,
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
        offset: offset.map(|offset| offset.0),
        service: entry.map(|entry| &*entry.service),
        models: models.unwrap_or_default(),
    };
    lines::write(event, &line);
}

/// Writes the line about an upstream that is used no longer.
pub fn note_gone(id: &str, change: &'static str) {
    let line = UpstreamLine {
        upstream: id,
        change,
        offset: None,
        service: None,
        models: Vec::new(),
    };
    lines::write(LogEvent::UpstreamGone, &line);
}
