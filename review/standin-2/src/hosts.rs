//! Entry hosts: the real program, one process a host, started with the command of the deploy file.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

pub struct EntryHost {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// The next port to try. Ports for outgoing connections are taken from 32768 on, so that none of those takes a host's
/// port before the host listens.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

fn free_port() -> SocketAddr {
    let first = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    loop {
        let port = first + NEXT_PORT.fetch_add(1, Ordering::SeqCst) % 2_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl EntryHost {
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        directory: &Path,
    ) -> std::io::Result<Self> {
        let [callers, directory_listen, ready, peer, metrics] =
            std::array::from_fn(|_| free_port());
        // As deploy/settings.toml.template renders the settings of a small deployment.
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{zone}\"\ncaller_listen = \"{callers}\"\n\
             directory_listen = \"{directory_listen}\"\nready_listen = \"{ready}\"\npeer_listen = \"{peer}\"\n\
             metrics_listen = \"{metrics}\"\nstore = \"{store}\"\nmax_descriptors = 4100\ncpu_share = 0.25\n\
             cpu_speed = 1\n\n[bounds]\nstop_s = 8\ncontact_ms = 3000\napply_ms = 2000\ndrain_ms = 2000\n\
             retry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\norder_lease_ms = 3000\n\
             directory_ttl_s = 5\nmember_lapse_ms = 1000\n"
        );
        let settings = directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let mut host = Self {
            callers,
            ready,
            settings,
            log: directory.join(format!("{name}.log")),
            program: std::env::current_dir()?.join("target/release/mangovale-entry"),
            child: None,
        };
        host.run()?;
        Ok(host)
    }

    pub fn run(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .env("MANGOVALE_CONFIG", &self.settings)
            .stdin(Stdio::null());
        self.child = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            if crate::http::call(self.ready, head, b"", Duration::from_secs(1))
                .is_ok_and(|answer| answer.status() == 200)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.kill();
    }
}
