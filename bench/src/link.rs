//! Links between processes that can be cut: relays of TCP connections and UDP datagrams in this process.
//!
//! A cut link keeps its connections open and passes nothing on, as a network does that lost track of
//! them; new connections are accepted and stay silent. Once mended, silenced connections stay silent
//! and new ones work.

use smol::Task;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const BUFFER_BYTES: usize = 64 * 1024;
const LOCALHOST: &str = "127.0.0.1:0";

/// A relay of TCP connections to one target.
#[derive(Debug)]
pub struct TcpLink {
    address: SocketAddr,
    state: Arc<LinkState>,
    _accepting: Task<()>,
}

#[derive(Debug, Default)]
struct LinkState {
    cut: AtomicBool,
    cuts: AtomicU64,
    passed_bytes: AtomicU64,
}

impl TcpLink {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub fn start(target: SocketAddr) -> Self {
        let listener = smol::block_on(TcpListener::bind(LOCALHOST)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(LinkState::default());
        let accepting = smol::spawn(accept(listener, target, state.clone()));
        Self {
            address,
            state,
            _accepting: accepting,
        }
    }

    /// Returns where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many bytes went through, both ways.
    pub fn passed_bytes(&self) -> u64 {
        self.state.passed_bytes.load(Ordering::Relaxed)
    }

    /// Silences all connections, open and new.
    pub fn cut(&self) {
        self.state.cuts.fetch_add(1, Ordering::SeqCst);
        self.state.cut.store(true, Ordering::SeqCst);
    }

    /// Lets new connections work again.
    pub fn mend(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<LinkState>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        smol::spawn(async move {
            let epoch = state.cuts.load(Ordering::SeqCst);
            if state.cut.load(Ordering::SeqCst) {
                return hold(stream).await;
            }
            let Ok(onward) = TcpStream::connect(target).await else {
                return;
            };
            let there = relay(stream.clone(), onward.clone(), state.clone(), epoch);
            let back = relay(onward, stream, state, epoch);
            smol::future::or(there, back).await;
        })
        .detach();
    }
}

/// Keeps a connection open and silent for good.
async fn hold(stream: TcpStream) {
    smol::future::pending::<()>().await;
    drop(stream);
}

async fn relay(mut from: TcpStream, mut to: TcpStream, state: Arc<LinkState>, epoch: u64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if state.cuts.load(Ordering::SeqCst) != epoch {
            hold(to).await;
            return;
        }
        state
            .passed_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// A relay of UDP datagrams to one target, with cuts by sender.
#[derive(Debug)]
pub struct UdpLink {
    address: SocketAddr,
    cut_senders: Arc<Mutex<HashSet<SocketAddr>>>,
    cut: Arc<AtomicBool>,
    passed_bytes: Arc<AtomicU64>,
    _relaying: Task<()>,
}

impl UdpLink {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub fn start(target: SocketAddr) -> Self {
        let socket = smol::block_on(UdpSocket::bind(LOCALHOST)).expect("a free port");
        let address = socket.local_addr().expect("a bound address");
        let cut_senders = Arc::new(Mutex::new(HashSet::new()));
        let cut = Arc::new(AtomicBool::new(false));
        let passed_bytes = Arc::new(AtomicU64::new(0));
        let relay = DatagramRelay {
            socket,
            target,
            cut_senders: cut_senders.clone(),
            cut: cut.clone(),
            passed_bytes: passed_bytes.clone(),
        };
        let relaying = smol::spawn(relay.run());
        Self {
            address,
            cut_senders,
            cut,
            passed_bytes,
            _relaying: relaying,
        }
    }

    /// Returns where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many bytes of datagrams went through, both ways.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Drops every datagram, both ways.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Drops the datagrams from and to one sender.
    pub fn cut_from(&self, sender: SocketAddr) {
        lock(&self.cut_senders).insert(sender);
    }

    /// Passes everything on again.
    pub fn mend(&self) {
        self.cut.store(false, Ordering::SeqCst);
        lock(&self.cut_senders).clear();
    }
}

#[derive(Clone)]
struct DatagramRelay {
    socket: UdpSocket,
    target: SocketAddr,
    cut_senders: Arc<Mutex<HashSet<SocketAddr>>>,
    cut: Arc<AtomicBool>,
    passed_bytes: Arc<AtomicU64>,
}

impl DatagramRelay {
    async fn run(self) {
        let mut onward: HashMap<SocketAddr, UdpSocket> = HashMap::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok((count, sender)) = self.socket.recv_from(&mut buffer).await {
            if self.is_cut(sender) {
                continue;
            }
            if let Entry::Vacant(entry) = onward.entry(sender) {
                let Ok(own) = UdpSocket::bind(LOCALHOST).await else {
                    continue;
                };
                smol::spawn(self.clone().run_back(own.clone(), sender)).detach();
                entry.insert(own);
            }
            if let Some(own) = onward.get(&sender) {
                self.count(count);
                let _ = own.send_to(&buffer[..count], self.target).await;
            }
        }
    }

    async fn run_back(self, own: UdpSocket, sender: SocketAddr) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok((count, _)) = own.recv_from(&mut buffer).await {
            if !self.is_cut(sender) {
                self.count(count);
                let _ = self.socket.send_to(&buffer[..count], sender).await;
            }
        }
    }

    fn is_cut(&self, sender: SocketAddr) -> bool {
        self.cut.load(Ordering::SeqCst) || lock(&self.cut_senders).contains(&sender)
    }

    fn count(&self, bytes: usize) {
        self.passed_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
