//! A plain service: one server, with new channels that can be refused while open ones live on.

use crate::http::{Channel, Message};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Server {
    pub id: Mutex<String>,
    pub address: SocketAddr,
    pub work_ms: AtomicU64,
    pub is_leaving: AtomicBool,
    pub refuses_new: AtomicBool,
    is_down: AtomicBool,
    channels: Mutex<Vec<(TcpStream, Arc<Mutex<String>>)>>,
    /// The ids of the requests that it ran, with the time at which each arrived.
    pub runs: Mutex<Vec<(String, u64)>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(id: &str, record: &Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            id: Mutex::new(id.to_string()),
            address: listener.local_addr()?,
            work_ms: AtomicU64::new(5),
            is_leaving: AtomicBool::new(false),
            refuses_new: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            channels: Mutex::default(),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = server.clone();
        std::thread::spawn(move || serving.listen(listener));
        Ok(server)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut open = Some(listener);
        loop {
            let refuses =
                self.refuses_new.load(Ordering::SeqCst) || self.is_down.load(Ordering::SeqCst);
            match (&open, refuses) {
                (Some(_), true) => open = None,
                (None, false) => {
                    open = TcpListener::bind(self.address).ok();
                    if let Some(listener) = &open {
                        let _ = listener.set_nonblocking(true);
                    }
                }
                _ => {}
            }
            match open.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    std::thread::spawn(move || server.serve(stream));
                }
                _ => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let last = Arc::new(Mutex::new(String::new()));
        if let Ok(copy) = stream.try_clone() {
            self.channels.lock().unwrap().push((copy, last.clone()));
        }
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.read() {
            *last.lock().unwrap() = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_string();
            if !self.answer(&mut channel, &request) {
                return;
            }
        }
    }

    /// Closes the open channels whose last request had an id that begins so.
    pub fn close_channels(&self, prefix: &str) {
        for (stream, last) in self.channels.lock().unwrap().iter() {
            if last.lock().unwrap().starts_with(prefix) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    /// Ends the process: its channels close and its port is free.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(10));
        self.close_channels("");
        self.channels.lock().unwrap().clear();
    }

    fn answer(&self, channel: &mut Channel, request: &Message) -> bool {
        let own = self.id.lock().unwrap().clone();
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        let leaving = || self.is_leaving.load(Ordering::SeqCst);
        let mut headers = vec![("X-Request-Id", id.clone())];
        let is_expected = request
            .header("x-expect-instance")
            .is_none_or(|expected| expected == own);
        if !is_expected {
            headers.push(("X-Not-Run", "1".to_string()));
            return channel.answer(421, &headers, b"").is_ok();
        }
        if request.path() == "/healthz" {
            headers.push(("X-Instance", own));
            return channel
                .answer(if leaving() { 503 } else { 200 }, &headers, b"")
                .is_ok();
        }
        self.runs
            .lock()
            .unwrap()
            .push((id.clone(), self.record.now_ms()));
        self.record.note(&format!(
            "server {own} runs {id}{}",
            if leaving() { " (it is leaving)" } else { "" }
        ));
        std::thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        if self.is_down.load(Ordering::SeqCst) {
            return false;
        }
        headers.push(("X-Server-Stamp", format!("{own}.{id}")));
        headers.push(("X-Server-Load", "1,0,6".to_string()));
        if leaving() {
            headers.push(("Server-Leaving", "1".to_string()));
            headers.push(("Connection", "close".to_string()));
        }
        let is_sent = channel
            .answer(200, &headers, format!("answer of {own} to {id}").as_bytes())
            .is_ok();
        is_sent && !leaving()
    }
}
