//! Relays a streamed answer to its caller, and resumes it when the connection to the upstream
//! fails.

use crate::attempt::message::{AttemptOutcome, TargetKind};
use crate::attempt::stream_validator::{StreamStep, StreamValidator};
use crate::edge::exchange::AnswerBody;
use crate::edge::http::with_timeout;
use crate::edge::pipe::{ChunkWriter, ReaderGone};
use crate::edge::upstream::{AnswerStart, UpstreamCall};
use crate::event_stream::{EventScanner, MAX_EVENT_BYTES};
use std::time::Duration;

/// The longest time for which a caller may leave its answer unread.
pub const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The most times that one answer is resumed.
pub const MAX_RESUMPTIONS: u32 = 3;

/// How the relay of an answer, or of its part from one connection, ended.
enum RelayEnd {
    Complete,
    CallerGone,
    DeadlinePassed,
    Failed(String),
}

/// Relays an answer until its end, and cancels the attempt if it does not end completely.
///
/// The answer of a model is validated and resumed; the events of a plain service are relayed
/// unchanged.
pub async fn relay_stream(
    call: &UpstreamCall,
    started: AnswerStart,
    caller: &ChunkWriter,
) -> AttemptOutcome {
    let end = match call.outgoing.target {
        TargetKind::Service => relay_events(call, started, caller).await,
        TargetKind::Model => relay_with_resumption(call, started.body, caller).await,
    };
    let outcome = match end {
        RelayEnd::Complete => return AttemptOutcome::Answered,
        RelayEnd::CallerGone => AttemptOutcome::CallerGone,
        RelayEnd::DeadlinePassed => AttemptOutcome::Broken("the deadline passed".into()),
        RelayEnd::Failed(why) => AttemptOutcome::Broken(why),
    };
    call.cancel();
    outcome
}

async fn relay_with_resumption(
    call: &UpstreamCall,
    body: AnswerBody,
    caller: &ChunkWriter,
) -> RelayEnd {
    let mut events = StreamValidator::new(call.attempt_id());
    let mut end = relay_part(call, body, &mut events, caller).await;
    for _ in 0..MAX_RESUMPTIONS {
        let RelayEnd::Failed(why) = &end else {
            return end;
        };
        crate::prelude::LogEvent::AttemptFailed.write(&format!(
            "request={} resumed at {} why={why}",
            call.outgoing.request_id,
            events.next_index()
        ));
        events.discard_partial_event();
        end = match call.resume(events.next_index()).await {
            Ok(started) => relay_part(call, started.body, &mut events, caller).await,
            Err(outcome) => RelayEnd::Failed(format!("{why}; not resumed: {outcome:?}")),
        };
    }
    end
}

async fn relay_part(
    call: &UpstreamCall,
    mut body: AnswerBody,
    events: &mut StreamValidator,
    caller: &ChunkWriter,
) -> RelayEnd {
    loop {
        while let Some(step) = events.next_step() {
            let (bytes, is_end) = match step {
                StreamStep::Broken(why) => return RelayEnd::Failed(why),
                StreamStep::Pass(event) => (event, false),
                StreamStep::End(event) => (event, true),
            };
            if let Err(end) = write(call, caller, bytes).await {
                return end;
            }
            if is_end {
                return RelayEnd::Complete;
            }
        }
        match read(call, &mut body).await {
            Ok(None) => return RelayEnd::Failed("the stream ended before its end mark".into()),
            Ok(Some(piece)) => events.push(&piece),
            Err(end) => return end,
        }
    }
}

/// Relays the events of a plain service unchanged. Only complete events are written, so that an
/// error event after a stream that breaks off stands for itself.
async fn relay_events(call: &UpstreamCall, started: AnswerStart, caller: &ChunkWriter) -> RelayEnd {
    let AnswerStart { kind, mut body, .. } = started;
    let mut unwritten = Vec::new();
    let mut scanner = EventScanner::default();
    let mut has_events = false;
    loop {
        let piece = match read(call, &mut body).await {
            Ok(None) => break,
            Ok(Some(piece)) => piece,
            Err(end) => return end,
        };
        unwritten.extend_from_slice(&piece);
        if let Some(end) = scanner.scan(&unwritten) {
            scanner.consume(end);
            let rest = unwritten.split_off(end);
            let events = std::mem::replace(&mut unwritten, rest);
            has_events = true;
            if let Err(end) = write(call, caller, events).await {
                return end;
            }
        } else if unwritten.len() > MAX_EVENT_BYTES {
            return RelayEnd::Failed("an event is too long".into());
        }
    }
    if let Some(why) = kind.early_end(has_events, &unwritten) {
        return RelayEnd::Failed(why.into());
    }
    match write(call, caller, unwritten).await {
        Ok(()) => RelayEnd::Complete,
        Err(end) => end,
    }
}

async fn read(call: &UpstreamCall, body: &mut AnswerBody) -> Result<Option<Vec<u8>>, RelayEnd> {
    let time_to_deadline = call.time_to_deadline();
    // Data that is always ready would win against a time-out.
    if time_to_deadline.is_zero() {
        return Err(RelayEnd::DeadlinePassed);
    }
    let silence_timeout = call.attempt.first_byte_ms.to_duration();
    match with_timeout(silence_timeout.min(time_to_deadline), body.next()).await {
        None if time_to_deadline <= silence_timeout => Err(RelayEnd::DeadlinePassed),
        None => Err(RelayEnd::Failed("the upstream went silent".into())),
        Some(Err(error)) => Err(RelayEnd::Failed(error.to_string())),
        Some(Ok(piece)) => Ok(piece),
    }
}

async fn write(call: &UpstreamCall, caller: &ChunkWriter, bytes: Vec<u8>) -> Result<(), RelayEnd> {
    let time_to_deadline = call.time_to_deadline();
    match caller
        .write(bytes, CALLER_STALL_TIMEOUT.min(time_to_deadline))
        .await
    {
        Ok(()) => Ok(()),
        Err(ReaderGone)
            if time_to_deadline < CALLER_STALL_TIMEOUT && call.time_to_deadline().is_zero() =>
        {
            Err(RelayEnd::DeadlinePassed)
        }
        Err(ReaderGone) => Err(RelayEnd::CallerGone),
    }
}
