//! The part of the platform that knows which processes exist: it takes ended ones off the host list.
//!
//! A frozen process exists, and so stays on the list.

use crate::call::finish;
use mangovale::edge::http::client;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;
use trillium_client::Method;

const POLL: Duration = Duration::from_millis(200);

type Watched = Arc<Mutex<HashMap<String, u32>>>;

/// Watches the processes of a site.
#[derive(Debug)]
pub struct PlatformWatch {
    watched: Watched,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformWatch {
    /// Starts to watch, for the host list at an address.
    pub fn start(host_list: SocketAddr) -> Self {
        let watched = Watched::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let thread = spawn({
            let (watched, stopped) = (watched.clone(), stopped.clone());
            move || {
                while !stopped.load(Ordering::Relaxed) {
                    remove_ended(&watched, host_list);
                    sleep(POLL);
                }
            }
        });
        Self {
            watched,
            stopped,
            thread: Some(thread),
        }
    }

    /// Watches the process that runs a named line of the list; a later one replaces it.
    pub fn watch(&self, name: &str, process_id: u32) {
        lock(&self.watched).insert(name.to_string(), process_id);
    }
}

impl Drop for PlatformWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn remove_ended(watched: &Watched, host_list: SocketAddr) {
    let ended: Vec<String> = lock(watched)
        .iter()
        .filter(|(_, process_id)| !exists(**process_id))
        .map(|(name, _)| name.clone())
        .collect();
    for name in ended {
        lock(watched).remove(&name);
        let url = format!("http://{host_list}/hosts/{name}");
        smol::block_on(finish(client().build_conn(Method::Delete, url)));
    }
}

fn exists(process_id: u32) -> bool {
    const STATE_FIELD: usize = 0;
    let text = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let state = after_name.split_whitespace().nth(STATE_FIELD);
    !text.is_empty() && state != Some("Z")
}

fn lock(watched: &Watched) -> MutexGuard<'_, HashMap<String, u32>> {
    watched.lock().unwrap_or_else(PoisonError::into_inner)
}
