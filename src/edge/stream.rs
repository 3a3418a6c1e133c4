//! Passes a streamed answer on to its caller, and resumes it when its connection fails.

use crate::attempt::message::{AttemptOutcome, TargetKind};
use crate::attempt::stream_validator::{StreamStep, StreamValidator};
use crate::edge::http::within;
use crate::edge::pipe::{ChunkWriter, ReaderGone};
use crate::edge::upstream::{Call, Started};
use smol::io::AsyncReadExt;
use std::time::Duration;
use trillium_client::ResponseBody;

/// How long a caller may leave its answer unread.
pub const WRITE_STALL: Duration = Duration::from_secs(10);
/// Most resumptions of one answer.
pub const MAX_RESUMPTIONS: u32 = 3;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How the passing of one connection's part ended.
enum PartEnd {
    Whole,
    CallerGone,
    DeadlinePassed,
    Failed(String),
}

/// Passes an answer on until its end.
pub async fn pass_stream(call: &Call, started: Started, caller: &ChunkWriter) -> AttemptOutcome {
    let end = match call.outgoing.target {
        TargetKind::Service => pass_unchecked(call, started.body, caller).await,
        TargetKind::Model => pass_checked(call, started.body, caller).await,
    };
    let outcome = match end {
        PartEnd::Whole => return AttemptOutcome::Answered,
        PartEnd::CallerGone => AttemptOutcome::CallerGone,
        PartEnd::DeadlinePassed => AttemptOutcome::Broken("the deadline passed".into()),
        PartEnd::Failed(why) => AttemptOutcome::Broken(why),
    };
    call.cancel();
    outcome
}

async fn pass_checked(call: &Call, body: ResponseBody<'static>, caller: &ChunkWriter) -> PartEnd {
    let mut events = StreamValidator::new(call.attempt_id());
    let mut end = pass_part(call, body, &mut events, caller).await;
    for _ in 0..MAX_RESUMPTIONS {
        let PartEnd::Failed(why) = &end else {
            return end;
        };
        crate::prelude::LogEvent::AttemptFailed.write(&format!(
            "request={} resumed at {} why={why}",
            call.outgoing.request_id,
            events.next_index()
        ));
        events.discard_partial_event();
        end = match call.resume(events.next_index()).await {
            Ok(started) => pass_part(call, started.body, &mut events, caller).await,
            Err(outcome) => PartEnd::Failed(format!("{why}; not resumed: {outcome:?}")),
        };
    }
    end
}

async fn pass_part(
    call: &Call,
    mut body: ResponseBody<'static>,
    events: &mut StreamValidator,
    caller: &ChunkWriter,
) -> PartEnd {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        while let Some(step) = events.next_step() {
            let (bytes, is_end) = match step {
                StreamStep::Broken(why) => return PartEnd::Failed(why),
                StreamStep::Pass(event) => (event, false),
                StreamStep::End(event) => (event, true),
            };
            if let Err(end) = write(call, caller, bytes).await {
                return end;
            }
            if is_end {
                return PartEnd::Whole;
            }
        }
        match read(call, &mut body, &mut buffer).await {
            Ok(0) => return PartEnd::Failed("the stream ended before its end mark".into()),
            Ok(count) => events.push(&buffer[..count]),
            Err(end) => return end,
        }
    }
}

async fn pass_unchecked(
    call: &Call,
    mut body: ResponseBody<'static>,
    caller: &ChunkWriter,
) -> PartEnd {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = match read(call, &mut body, &mut buffer).await {
            Ok(0) => return PartEnd::Whole,
            Ok(count) => count,
            Err(end) => return end,
        };
        if let Err(end) = write(call, caller, buffer[..count].to_vec()).await {
            return end;
        }
    }
}

async fn read(
    call: &Call,
    body: &mut ResponseBody<'static>,
    buffer: &mut [u8],
) -> Result<usize, PartEnd> {
    let to_deadline = call.to_deadline();
    let silence = call.attempt.first_byte_ms.to_duration();
    match within(silence.min(to_deadline), body.read(buffer)).await {
        None if to_deadline <= silence => Err(PartEnd::DeadlinePassed),
        None => {
            call.connections.forget(call.attempt.address);
            Err(PartEnd::Failed("the upstream went silent".into()))
        }
        Some(Err(error)) => Err(PartEnd::Failed(error.to_string())),
        Some(Ok(count)) => Ok(count),
    }
}

async fn write(call: &Call, caller: &ChunkWriter, bytes: Vec<u8>) -> Result<(), PartEnd> {
    let to_deadline = call.to_deadline();
    match caller.write(bytes, WRITE_STALL.min(to_deadline)).await {
        Ok(()) => Ok(()),
        Err(ReaderGone) if to_deadline < WRITE_STALL && call.to_deadline().is_zero() => {
            Err(PartEnd::DeadlinePassed)
        }
        Err(ReaderGone) => Err(PartEnd::CallerGone),
    }
}
