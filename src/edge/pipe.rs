//! A bounded pipe by which a task writes the body of an HTTP answer in chunks.

use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncRead;
use smol::stream::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The most chunks in the pipe. Beyond them, the task that writes waits for its reader, so that a
/// slow reader delays only its own task.
const MAX_CHUNKS: usize = 16;

/// An item in the pipe.
#[derive(Debug)]
enum PipeItem {
    Chunk(Vec<u8>),
    End,
}

/// Creates a pipe and returns its two ends.
pub fn pipe() -> (ChunkWriter, ChunkReader) {
    let (sender, receiver) = bounded(MAX_CHUNKS);
    let reader = ChunkReader {
        receiver: Box::pin(receiver),
        chunk: Vec::new(),
        read_bytes: 0,
        ended: false,
    };
    (ChunkWriter { sender }, reader)
}

/// The error of a write whose reader is dropped or took nothing within the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderGone;

/// The writing end.
///
/// If it is dropped without [`ChunkWriter::end`], the body fails, and the connection is closed, so
/// that an incomplete answer does not look complete.
#[derive(Debug)]
pub struct ChunkWriter {
    sender: Sender<PipeItem>,
}

impl ChunkWriter {
    /// Writes a chunk, and waits while the pipe is full.
    ///
    /// # Errors
    ///
    /// Fails if the reader is dropped, or the pipe stays full for the whole timeout.
    pub async fn write(&self, chunk: Vec<u8>, timeout: Duration) -> Result<(), ReaderGone> {
        self.send(PipeItem::Chunk(chunk), timeout).await
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Fails if the reader is dropped, or the pipe stays full for the whole timeout.
    pub async fn end(self, timeout: Duration) -> Result<(), ReaderGone> {
        self.send(PipeItem::End, timeout).await
    }

    async fn send(&self, item: PipeItem, timeout: Duration) -> Result<(), ReaderGone> {
        match crate::edge::http::with_timeout(timeout, self.sender.send(item)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) | None => Err(ReaderGone),
        }
    }
}

/// The reading end, which the HTTP server reads as the body.
#[derive(Debug)]
pub struct ChunkReader {
    receiver: Pin<Box<Receiver<PipeItem>>>,
    chunk: Vec<u8>,
    read_bytes: usize,
    ended: bool,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.read_bytes >= self.chunk.len() {
            if self.ended {
                return Poll::Ready(Ok(0));
            }
            match self.receiver.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
                Poll::Ready(Some(PipeItem::End)) => self.ended = true,
                Poll::Ready(Some(PipeItem::Chunk(chunk))) => {
                    self.chunk = chunk;
                    self.read_bytes = 0;
                }
            }
        }
        let unread = &self.chunk[self.read_bytes..];
        let count = unread.len().min(buffer.len());
        buffer[..count].copy_from_slice(&unread[..count]);
        self.read_bytes += count;
        Poll::Ready(Ok(count))
    }
}
