//! Relays an event stream event by event, and resumes it elsewhere when its upstream breaks off.

use crate::clock::boot_us;
use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::answer::caller_writer::{BodyFraming, CallerWriter};
use crate::entry::answer::relay::{GRACE_MS, RelayOutcome, note_first_byte};
use crate::entry::crashes::holding;
use crate::entry::forward::{ANSWER_MARGIN_MS, try_upstream};
use crate::entry::handoff::{HandedOff, Outgoing, hand_off};
use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::entry::request_log::{BodyEnd, RequestLog};
use crate::entry::resumption::proof::{has_version, is_proven};
use crate::entry::resumption::streams;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::choice::{choose, out_of_reach};
use crate::entry::sending::send::{SendOutcome, StartedAnswer};
use crate::entry::upstream_limits;
use crate::event_stream::{BYTE_ORDER_MARK, EventScanner, MAX_EVENT_BYTES, StreamPosition};
use crate::http1::client::with_timeout;
use crate::http1::{Framing, ReadError};
use crate::ordering::event_gaps::{EventGaps, GapSample, MAX_HOST_SAMPLES};
use crate::prelude::*;
use crate::resumption::StreamVersion;

/// The most upstreams that are tried to resume one interrupted stream.
const MAX_RESUME_ATTEMPTS: usize = 3;

/// Relays an event stream. Only complete events are written, so that a resumed stream can continue
/// after the last one.
pub struct EventRelay<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
    attempts: &'a mut Attempts,
    /// Bytes that were read and not yet written: an incomplete event after each write.
    buffer: Vec<u8>,
    /// Finds the events in the buffer, and the position after those that were written.
    scanner: EventScanner,
    /// The software version that sent the first event, as far as this host knows.
    software_version: Option<StreamVersion>,
    /// Whether the caller was sent the head of the answer.
    has_begun: bool,
    /// When the head was sent.
    started_at: Millis,
    last_write_at: Millis,
    /// The times between the events of the upstream that sends them now.
    gaps: EventGaps,
}

/// What came next of a stream.
enum Piece {
    Bytes(Vec<u8>),
    End,
    Failed(&'static str),
    DeadlineReached,
}

#[derive(Serialize)]
struct ResumeLine<'a> {
    request: Option<&'a str>,
    from: &'a str,
    why: &'static str,
    after_event: Option<&'a str>,
    version: Option<&'a str>,
    to: Option<&'a str>,
}

impl<'a, P: Platform> EventRelay<'a, P> {
    /// Creates the relay of a stream of which nothing was written yet.
    pub fn new(host: &'a Host<P>, request: &'a ActiveRequest, attempts: &'a mut Attempts) -> Self {
        Self {
            host,
            request,
            attempts,
            buffer: Vec::new(),
            scanner: EventScanner::default(),
            software_version: None,
            has_begun: false,
            started_at: host.now(),
            last_write_at: host.now(),
            gaps: EventGaps::default(),
        }
    }

    /// Relays the stream to its end, over as many upstreams as it takes.
    pub async fn run(
        mut self,
        out: &mut CallerWriter,
        log: &mut RequestLog<'_, P>,
        mut answer: Box<StartedAnswer>,
    ) -> RelayOutcome {
        self.buffer = std::mem::take(&mut answer.body_start);
        loop {
            if let Err(error) = self.write_events(out, log, &answer).await {
                self.note_gaps(&answer);
                return RelayOutcome::not_written(&error);
            }
            let why = match self.next_piece(&mut answer, log).await {
                Piece::Bytes(bytes) => {
                    answer.note_goes_on(self.host, self.request);
                    let now = self.host.now();
                    let mut upstreams = self.host.upstreams.borrow_mut();
                    upstreams.note_heard(now, &answer.upstream);
                    drop(upstreams);
                    self.buffer.extend_from_slice(&bytes);
                    continue;
                }
                Piece::DeadlineReached => {
                    self.note_gaps(&answer);
                    if !self.has_begun && !self.buffer.is_empty() {
                        answer.note_endless(self.host);
                    }
                    return self.broken("the time limit was reached");
                }
                Piece::Failed(why) => why,
                Piece::End => match answer.body_kind().early_end(self.has_begun, &self.buffer) {
                    Some(why) => why,
                    None => return self.finish(out, log, answer).await,
                },
            };
            self.note_gaps(&answer);
            answer.note_broken(self.host, self.request).await;
            if !self.has_begun {
                return RelayOutcome::NotStarted(why);
            }
            let from = answer.upstream.id.clone();
            // An upstream that broke the protocol may work on until its connection closes.
            drop(answer);
            match self.resume(&from, why, log).await {
                Some(next) => {
                    answer = next;
                    self.buffer = std::mem::take(&mut answer.body_start);
                    if self.buffer.starts_with(BYTE_ORDER_MARK) {
                        self.buffer.drain(..BYTE_ORDER_MARK.len());
                    }
                    self.scanner.go_on();
                }
                None => return self.broken(why),
            }
        }
    }

    /// Waits for more of the stream. Silence alone does not end it: an engine that runs out of
    /// memory preempts a stream and continues it seconds later. An upstream that is gone resets the
    /// connection or leaves its keep-alive probes unanswered.
    async fn next_piece(&self, answer: &mut StartedAnswer, log: &mut RequestLog<'_, P>) -> Piece {
        // A caller that has got nothing is refused in time for its deadline.
        let ends_at = match self.has_begun {
            true => self.request.deadline_at + GRACE_MS,
            false => self.request.deadline_at - ANSWER_MARGIN_MS,
        };
        let left_ms = ends_at.since(self.host.now());
        let next = with_timeout(left_ms, answer.next_piece()).await;
        let end = match &next {
            Some(Ok(None)) => Some(BodyEnd::of_whole(answer.head.framing)),
            Some(Err(error)) => Some(BodyEnd::of_error(error)),
            Some(Ok(Some(_))) | None => None,
        };
        if let Some(end) = end {
            log.summary.note_body_end(end, self.buffer.len());
        }
        match next {
            None => Piece::DeadlineReached,
            Some(Ok(Some(_))) if self.buffer.len() > MAX_EVENT_BYTES => {
                Piece::Failed("an event is too long")
            }
            Some(Ok(Some(bytes))) => Piece::Bytes(bytes),
            Some(Ok(None)) => Piece::End,
            Some(Err(ReadError::Ended)) => Piece::Failed("the upstream closed before the end"),
            Some(Err(_)) => Piece::Failed("the upstream broke off"),
        }
    }

    /// Writes the complete events in the buffer to the caller.
    async fn write_events(
        &mut self,
        out: &mut CallerWriter,
        log: &mut RequestLog<'_, P>,
        answer: &StartedAnswer,
    ) -> std::io::Result<()> {
        let before = self.scanner.events();
        let Some(end) = self.scanner.scan(&self.buffer) else {
            return Ok(());
        };
        let rest = self.buffer.split_off(end);
        let events = std::mem::replace(&mut self.buffer, rest);
        self.scanner.consume(end);
        self.begin(out, log, answer).await?;
        let count = self.scanner.events() - before;
        self.gaps.note(boot_us(), count);
        log.summary.events += count;
        let now = self.host.now();
        let gap_ms = now.since(self.last_write_at);
        log.summary.longest_gap_ms = log.summary.longest_gap_ms.max(gap_ms);
        self.last_write_at = now;
        out.piece(&events).await
    }

    async fn begin(
        &mut self,
        out: &mut CallerWriter,
        log: &mut RequestLog<'_, P>,
        answer: &StartedAnswer,
    ) -> std::io::Result<()> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Ok(());
        }
        self.started_at = self.host.now();
        self.last_write_at = self.started_at;
        self.software_version = answer.software_version.clone();
        streams::note_begun(self.host, self.request, answer.software_version.as_ref());
        out.note_version(self.host.now(), answer.software_version.as_ref());
        note_first_byte(self.host, self.request, log);
        // The part of another upstream need not have the bytes that are missing of this one's length.
        let form = match answer.head.framing {
            Framing::Length(length) if self.request.route.repeat != Repeat::Resumable => {
                BodyFraming::Length(length)
            }
            _ => BodyFraming::Chunked,
        };
        out.begin(&answer.head, form).await
    }

    async fn finish(
        mut self,
        out: &mut CallerWriter,
        log: &mut RequestLog<'_, P>,
        answer: Box<StartedAnswer>,
    ) -> RelayOutcome {
        self.note_gaps(&answer);
        let rest = std::mem::take(&mut self.buffer);
        let begun = self.begin(out, log, &answer).await;
        if self.request.at_engine {
            let took_ms = self.host.now().since(self.started_at);
            self.host.note_occupied(&self.request.service, took_ms);
        }
        let written = match begun {
            Ok(()) if rest.is_empty() => out.end().await,
            Ok(()) => match out.piece(&rest).await {
                Ok(()) => out.end().await,
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        answer.return_connection(self.host);
        match written {
            Ok(()) => RelayOutcome::Complete,
            Err(error) => RelayOutcome::not_written(&error),
        }
    }

    /// Keeps a sample of the time between the events of an engine, for the orderer. Another host that
    /// passes an answer on does so itself.
    fn note_gaps(&mut self, answer: &StartedAnswer) {
        let gap_us = self.gaps.take_lower_quartile_us();
        let is_from_engine = self.request.at_engine && answer.in_flight.is_some();
        if let (Some(gap_us), Some(model), true) =
            (gap_us, &self.request.facts.model, is_from_engine)
        {
            let sample = GapSample {
                engine: answer.upstream.clone(),
                model: model.model.clone(),
                gap_us,
            };
            let mut samples = self.host.event_gaps.borrow_mut();
            samples.add([sample], MAX_HOST_SAMPLES);
        }
    }

    fn broken(&self, why: &'static str) -> RelayOutcome {
        match self.has_begun {
            true => RelayOutcome::Truncated(why),
            false => RelayOutcome::NotStarted(why),
        }
    }

    fn may_resume(&self) -> bool {
        let route = &self.request.route;
        route.repeat == Repeat::Resumable && self.attempts.runs + 1 < route.attempts
    }

    /// Resumes an interrupted stream at another upstream of its software version, after the last
    /// event that the caller has.
    async fn resume(
        &mut self,
        from: &Name,
        why: &'static str,
        log: &mut RequestLog<'_, P>,
    ) -> Option<Box<StartedAnswer>> {
        if !self.may_resume() {
            return None;
        }
        if holding::quarantine(self.host, self.request, self.attempts).is_some() {
            return None;
        }
        let after = match self.scanner.position() {
            StreamPosition::Start => self.request.resume_after()?.to_string(),
            StreamPosition::After(id) => id.clone(),
            StreamPosition::Unknown => return None,
        };
        self.attempts.note_may_have_run(from.clone());
        let version = self.needed_version().await;
        let resumed = match &version {
            Some(version) => self.go_on_elsewhere(&after, version, log).await,
            None => None,
        };
        let line = ResumeLine {
            request: self.request.facts.id.as_deref(),
            from,
            why,
            after_event: Some(&after),
            version: version.as_deref(),
            to: resumed.as_ref().map(|answer| &*answer.upstream.id),
        };
        lines::write(LogEvent::StreamResumed, &line);
        resumed
    }

    /// Sends the request on to upstreams of a software version until one goes on with the stream.
    async fn go_on_elsewhere(
        &mut self,
        after: &str,
        version: &Name,
        log: &mut RequestLog<'_, P>,
    ) -> Option<Box<StartedAnswer>> {
        self.attempts.software_version = Some(version.clone());
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let Some(upstream) = choose(self.host, self.request, self.attempts) else {
                match self.hand_off(after, log).await {
                    Some(HandedOff::Reached) => {
                        self.attempts.clear_unreached();
                        continue;
                    }
                    Some(HandedOff::Answered(answer)) if self.goes_on(&answer, version).await => {
                        return Some(answer);
                    }
                    Some(_) | None => return None,
                }
            };
            if let Err(refused) = upstream_limits::take(self.host, &upstream).await {
                self.attempts.note_limited(upstream, refused.retry_after_ms);
                continue;
            }
            if !self.attempts.may_repeat(self.host, self.request) {
                return None;
            }
            let (host, request, after) = (self.host, self.request, Some(after));
            limits::note_extra_run(host, request);
            match try_upstream(host, request, &upstream, self.attempts, log, after).await {
                SendOutcome::Answered(answer) if self.goes_on(&answer, version).await => {
                    return Some(answer);
                }
                SendOutcome::Answered(_) | SendOutcome::MayHaveRun => {
                    self.attempts.note_may_have_run(upstream);
                    return None;
                }
                SendOutcome::Unreached { began_at } => {
                    self.attempts.note_unreached(upstream, began_at);
                }
                SendOutcome::NotRun { .. } | SendOutcome::NotSent => {
                    self.attempts.note_not_run(upstream)
                }
            }
        }
        None
    }

    /// Returns the software version at which the stream must go on; none if it is not proven.
    async fn needed_version(&self) -> Option<Name> {
        if let Some(version) = &self.attempts.software_version {
            return Some(version.clone());
        }
        let version = self.software_version.as_ref()?;
        let is_proven = is_proven(self.host, version).await;
        is_proven.then(|| version.version.clone())
    }

    /// Tells whether the stream goes on with an answer.
    async fn goes_on(&self, answer: &StartedAnswer, version: &Name) -> bool {
        answer.head.status == 200
            && has_version(self.host, answer.software_version.as_ref(), version).await
    }

    /// Hands an interrupted stream to another host that is to go on with it, if this one does not
    /// reach the upstreams that could.
    async fn hand_off(&self, after: &str, log: &mut RequestLog<'_, P>) -> Option<HandedOff> {
        let wanted = out_of_reach(self.host, self.request, self.attempts)?;
        let handoffs = self.request.handoffs()?;
        let outgoing = Outgoing {
            request: self.request,
            handoffs,
            wanted: &wanted,
            attempts: self.attempts,
            resume_after: Some(after),
        };
        let ended = hand_off(self.host, &outgoing, log).await;
        if !ended.is_not_run() {
            limits::note_extra_run(self.host, self.request);
        }
        Some(ended)
    }
}
