//! An upstream that answers a request as soon as it has read the head, and leaves the body unread.

use crate::http1::Connection;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

/// The body of an upload that is longer than the buffers of a connection hold.
pub const UPLOAD_BYTES: usize = 3 << 20;
/// The bodies of uploads that the buffers of a connection hold as a whole, so that they count as written
/// although the upstream leaves them unread.
pub const BUFFERED_UPLOADS_BYTES: [usize; 2] = [20 << 10, 200 << 10];
/// How long after the end of its own direction a connection is reset.
const RESET_AFTER: Duration = Duration::from_millis(20);

/// How the upstream ends a connection.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// It resets it.
    Reset,
    /// It ends its own direction first, and resets the connection later.
    ShutDownThenReset,
    /// It ends its own direction, reads the request on, and closes the connection.
    ShutDown,
}

/// Listens at a free port of this machine.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Answers the requests of one connection after the other.
pub async fn serve(listener: TcpListener, answer: &'static str, end: End) {
    while let Ok((stream, _)) = listener.accept().await {
        answer_early(stream, answer, end).await;
    }
}

async fn answer_early(stream: TcpStream, answer: &'static str, end: End) {
    let mut connection = Connection::new(stream);
    let head = connection.read_request_head(16 << 10).await;
    if !matches!(head, Ok(Some(_))) || connection.write(answer.as_bytes()).await.is_err() {
        return;
    }
    match end {
        End::Reset => {}
        End::ShutDownThenReset => {
            shut_down(&connection);
            Timer::after(RESET_AFTER).await;
        }
        End::ShutDown => {
            shut_down(&connection);
            while connection.read_some(u64::MAX).await.is_ok() {}
            return;
        }
    }
    let stream = connection.stream();
    let linger = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    linger.expect("the option is supported");
}

fn shut_down(connection: &Connection<TcpStream>) {
    let stream = connection.stream();
    stream.shutdown(Shutdown::Write).expect("it is open");
}
