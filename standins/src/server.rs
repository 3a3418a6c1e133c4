//! The HTTP server that all stand-ins share: admin paths, faults, start and stop.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, FutureExt, StreamExt};
use smol::net::TcpListener;
use snafu::ResultExt;
use trillium::{Body, Conn, KnownHeaderName, Method};
use trillium_server_common::RuntimeTrait;
use trillium_smol::{SmolRuntime, Swansong};

use crate::clock::sleep_ms;
use crate::counters::Counters;
use crate::error::{ListenSnafu, Refusal, StandInError};
use crate::faults::{Faults, Loss};
use crate::http::{Answer, AnswerBody, Chunks, LEAVING_HEADER, LOAD_HEADER};
use crate::http::{MAX_BODY_BYTES, NOT_RUN, RUN_HEADER};
use crate::http::{Request, StandIn};
use crate::transport::{ConnectionSwitch, SwitchAcceptor, SwitchedTransport};

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
/// How long requests under way may take after a stop was asked for.
const DRAIN: Duration = Duration::from_secs(5);

/// A bound server that has not started yet.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    /// Binds the address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(listen: SocketAddr) -> Result<Self, StandInError> {
        let listener = TcpListener::bind(listen)
            .await
            .context(ListenSnafu { listen })?;
        let address = listener.local_addr().context(ListenSnafu { listen })?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process is told to stop, then lets requests under way finish.
    pub async fn serve<S: StandIn>(self, stand_in: Arc<S>) {
        let signals = SmolRuntime::default().hook_signals([SIGINT, SIGTERM]);
        let mut signals = std::pin::pin!(signals);
        let swansong = Swansong::new();
        let front = Arc::new(Front::new(stand_in));
        let config = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_acceptor(SwitchAcceptor::new(front.faults.silence()))
            .with_swansong(swansong.clone())
            .with_prebound_server(self.listener);
        let running = smol::spawn(config.run_async(move |conn: Conn| {
            let front = Arc::clone(&front);
            async move { front.handle(conn).await }
        }));
        announce(self.address);
        signals.next().await;
        swansong.shut_down();
        let timeout = async {
            smol::Timer::after(DRAIN).await;
        };
        running.or(timeout).await;
    }
}

fn announce(address: SocketAddr) {
    let mut stdout = io::stdout().lock();
    // A closed stdout is no reason to stop serving.
    let _ = writeln!(stdout, "listening on {address}");
    let _ = stdout.flush();
}

/// Stands before a stand-in: reads requests, plays faults, counts.
struct Front<S> {
    stand_in: Arc<S>,
    faults: Arc<Faults>,
    counters: Counters,
}

impl<S: StandIn> Front<S> {
    fn new(stand_in: Arc<S>) -> Self {
        Self {
            stand_in,
            faults: Arc::default(),
            counters: Counters::default(),
        }
    }

    async fn handle(&self, mut conn: Conn) -> Conn {
        let switch = SwitchedTransport::switch_of(&conn);
        let request = match read_request(&mut conn).await {
            Ok(request) => request,
            Err(refusal) => return write_answer(conn, refusal.into()),
        };
        if let Some(switch) = &switch {
            switch.set_admin(request.is_admin());
        }
        if request.is_admin() {
            let answer = self.answer_admin(&request).await;
            return write_answer(conn, answer.into());
        }
        if switch.as_ref().is_some_and(|switch| switch.is_silent()) {
            self.counters.count_silenced();
            conn.cancel_on_disconnect(std::future::pending::<()>())
                .await;
            return conn;
        }
        match self.answer_with_faults(&mut conn, &request, switch).await {
            Some(answer) => {
                if self.stand_in.is_leaving() {
                    conn.insert_response_header(LEAVING_HEADER, "1");
                }
                if let Some(load) = self.stand_in.stated_load() {
                    conn.insert_response_header(LOAD_HEADER, load.to_string());
                }
                write_answer(conn, answer)
            }
            None => conn,
        }
    }

    async fn answer_admin(&self, request: &Request) -> Result<Answer, Refusal> {
        match (request.method, request.path.as_str()) {
            (Method::Post, "/admin/faults") => {
                self.faults.replace(request.json()?)?;
                Ok(Answer::ok(&self.faults.settings()))
            }
            (Method::Get, "/admin/faults") => Ok(Answer::ok(&self.faults.settings())),
            (Method::Get, "/admin/counters") => Ok(Answer::ok(&self.counters.readings())),
            _ => self.stand_in.answer(request).await,
        }
    }

    /// Answers with the active faults, or not at all if the request is given up.
    async fn answer_with_faults(
        &self,
        conn: &mut Conn,
        request: &Request,
        switch: Option<Arc<ConnectionSwitch>>,
    ) -> Option<Answer> {
        self.counters.count_request();
        self.faults.until_thawed(&request.path).await;
        if self.faults.is_outage(&request.path) {
            self.counters.count_outage();
            return Some(Refusal::Outage.into());
        }
        if let Some(retry_after_s) = self.faults.rest_s(&request.path) {
            self.counters.count_outage();
            return Some(Refusal::Resting { retry_after_s }.into());
        }
        let answering = self.stand_in.answer(request);
        let answer = match self.stand_in.stops_on_disconnect(request) {
            true => conn.cancel_on_disconnect(answering).await?,
            false => answering.await,
        };
        let answer = Answer::from(answer);
        self.counters.count_answer(answer.status);
        Some(self.spoil(request, answer, switch).await)
    }

    /// Delays or loses an answer whose effect has taken place.
    async fn spoil(
        &self,
        request: &Request,
        mut answer: Answer,
        switch: Option<Arc<ConnectionSwitch>>,
    ) -> Answer {
        let drawn = self.faults.draw(&request.path);
        if drawn.delay_ms > 0 {
            self.counters.count_delayed();
            sleep_ms(drawn.delay_ms).await;
        }
        self.faults.until_thawed(&request.path).await;
        let loss = drawn.loss.zip(switch);
        if loss.is_some() {
            self.counters.count_lost();
        }
        answer.body = match answer.body {
            AnswerBody::Events(chunks) => {
                let faults = Arc::clone(&self.faults);
                AnswerBody::Events(spoiled_chunks(chunks, faults, &request.path, loss))
            }
            AnswerBody::Json(body) => {
                if let Some((loss, switch)) = loss {
                    sleep_ms(loss.hang_ms).await;
                    switch.cut();
                }
                AnswerBody::Json(body)
            }
        };
        answer
    }
}

/// Applies a freeze to each chunk, and a loss after some chunks.
fn spoiled_chunks(
    chunks: Chunks,
    faults: Arc<Faults>,
    path: &str,
    loss: Option<(Loss, Arc<ConnectionSwitch>)>,
) -> Chunks {
    let path: Arc<str> = path.into();
    let numbered = chunks.enumerate();
    Box::pin(numbered.then(move |(index, chunk)| {
        let faults = Arc::clone(&faults);
        let path = Arc::clone(&path);
        let loss = loss.clone();
        async move {
            faults.until_thawed(&path).await;
            if let Some((loss, switch)) = loss.filter(|(loss, _)| index >= loss.chunks_before) {
                sleep_ms(loss.hang_ms).await;
                switch.cut();
            }
            chunk
        }
    }))
}

async fn read_request(conn: &mut Conn) -> Result<Request, Refusal> {
    let body = conn
        .request_body()
        .with_max_len(MAX_BODY_BYTES as u64)
        .read_bytes()
        .await
        .map_err(|_| Refusal::TooLarge)?;
    Ok(Request {
        method: conn.method(),
        path: conn.path().to_owned(),
        query: conn.querystring().to_owned(),
        headers: conn.request_headers().clone(),
        body,
    })
}

fn write_answer(conn: Conn, answer: Answer) -> Conn {
    let mut conn = conn.with_status(answer.status);
    if answer.not_run {
        conn.insert_response_header(RUN_HEADER, NOT_RUN);
    }
    if let Some(retry_after_s) = answer.retry_after_s {
        conn.insert_response_header(KnownHeaderName::RetryAfter, retry_after_s.to_string());
    }
    let (content_type, body) = match answer.body {
        AnswerBody::Json(body) => ("application/json", Body::new_static(body)),
        AnswerBody::Events(chunks) => {
            let reader = ChunkReader::new(chunks);
            ("text/event-stream", Body::new_streaming(reader, None))
        }
    };
    conn.insert_response_header(KnownHeaderName::ContentType, content_type);
    conn.with_body(body).halt()
}

/// Reads a stream of chunks as bytes.
struct ChunkReader {
    chunks: Chunks,
    current: io::Cursor<Vec<u8>>,
}

impl ChunkReader {
    fn new(chunks: Chunks) -> Self {
        Self {
            chunks,
            current: io::Cursor::default(),
        }
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let len = io::Read::read(&mut self.current, buf)?;
            if len > 0 {
                return Poll::Ready(Ok(len));
            }
            match ready!(self.chunks.poll_next(cx)) {
                Some(chunk) => self.current = io::Cursor::new(chunk),
                None => return Poll::Ready(Ok(0)),
            }
        }
    }
}
