//! Writes a request while its answer is read. An upstream may answer, and end the connection, before
//! it has read the whole request.

use crate::http1::connection::ReadError;
use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

/// The longest request that counts as read when its answer begins. An upstream reads the head of a request
/// before it answers, and a read of usual length takes the rest of a short request with it.
const ONE_READ_BYTES: usize = 4 << 10;

/// How much of a request was written when its answer began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// All of it.
    Whole,
    /// All of it, into the buffers of the connection. The upstream may not have read all, and resets the
    /// connection if it closes it then, perhaps after the end of its own direction.
    Buffered,
    /// A part. Nothing more is written, so the connection cannot carry another request, and its close
    /// is no proof of the answer's end: the upstream may as well have given the request up.
    Part,
}

/// Writes a request until `read` has read the start of its answer. An answer that arrived counts also
/// if the connection broke while the request was being written.
///
/// # Errors
///
/// Returns why the request could not be written, if there is no answer, and errors of `read`.
pub async fn write_while_reading<T>(
    stream: &TcpStream,
    request: &[u8],
    read: impl Future<Output = Result<T, ReadError>>,
) -> Result<(T, Written), ReadError> {
    let mut writer = stream.clone();
    let mut write = pin!(writer.write_all(request));
    let mut read = pin!(read);
    let mut written = None;
    poll_fn(|context| {
        if written.is_none()
            && let Poll::Ready(result) = write.as_mut().poll(context)
        {
            written = Some(result);
        }
        read.as_mut().poll(context).map(|answer| match answer {
            Ok(answer) => Ok((
                answer,
                match written {
                    Some(Ok(())) if request.len() <= ONE_READ_BYTES => Written::Whole,
                    Some(Ok(())) => Written::Buffered,
                    Some(Err(_)) | None => Written::Part,
                },
            )),
            Err(error) => Err(match written.take() {
                Some(Err(source)) => ReadError::Broken { source },
                Some(Ok(())) | None => error,
            }),
        })
    })
    .await
}
