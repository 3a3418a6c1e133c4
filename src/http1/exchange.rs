//! Writes a request while its answer is read. An upstream may answer, and end the connection, before
//! it has read the whole request.

use crate::http1::connection::ReadError;
use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

/// How much of a request was written when its answer began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// All of it.
    Whole,
    /// A part. Nothing more is written, so the connection cannot carry another request, and its close
    /// is no proof of the answer's end: the upstream may as well have given the request up.
    Part,
}

/// Writes a request until `read` has read the start of its answer.
///
/// # Errors
///
/// Returns why the request could not be written, and errors of `read`.
pub async fn write_while_reading<T>(
    stream: &TcpStream,
    request: &[u8],
    read: impl Future<Output = Result<T, ReadError>>,
) -> Result<(T, Written), ReadError> {
    let mut writer = stream.clone();
    let mut write = pin!(writer.write_all(request));
    let mut read = pin!(read);
    let mut is_written = false;
    poll_fn(|context| {
        if !is_written && let Poll::Ready(result) = write.as_mut().poll(context) {
            match result {
                Ok(()) => is_written = true,
                Err(source) => return Poll::Ready(Err(ReadError::Broken { source })),
            }
        }
        let written = if is_written {
            Written::Whole
        } else {
            Written::Part
        };
        read.as_mut()
            .poll(context)
            .map_ok(|answer| (answer, written))
    })
    .await
}
