//! A bounded pipe of byte chunks from a task to an HTTP body.

use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncRead;
use smol::stream::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Most chunks between the task and the body: a slow reader holds its own task up and nobody else.
const MAX_CHUNKS: usize = 16;

/// What goes through the pipe.
#[derive(Debug)]
enum Piece {
    Chunk(Vec<u8>),
    End,
}

/// Makes a pipe.
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

/// The reading end is gone, or stalled for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderGone;

/// The writing end. Dropped without [`ChunkWriter::end`], it makes the body fail, so that the
/// connection is cut and the answer does not look whole.
#[derive(Debug)]
pub struct ChunkWriter {
    sender: Sender<Piece>,
}

impl ChunkWriter {
    /// Writes a chunk.
    ///
    /// # Errors
    ///
    /// Fails when the reader is gone, or takes nothing within the limit.
    pub async fn write(&self, chunk: Vec<u8>, limit: Duration) -> Result<(), ReaderGone> {
        self.send(Piece::Chunk(chunk), limit).await
    }

    /// Ends the body as complete.
    ///
    /// # Errors
    ///
    /// Fails when the reader is gone, or takes nothing within the limit.
    pub async fn end(self, limit: Duration) -> Result<(), ReaderGone> {
        self.send(Piece::End, limit).await
    }

    async fn send(&self, piece: Piece, limit: Duration) -> Result<(), ReaderGone> {
        match crate::edge::http::within(limit, self.sender.send(piece)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) | None => Err(ReaderGone),
        }
    }
}

/// The reading end.
#[derive(Debug)]
pub struct ChunkReader {
    receiver: Pin<Box<Receiver<Piece>>>,
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
                Poll::Ready(Some(Piece::End)) => self.ended = true,
                Poll::Ready(Some(Piece::Chunk(chunk))) => {
                    self.chunk = chunk;
                    self.read_bytes = 0;
                }
            }
        }
        let left = &self.chunk[self.read_bytes..];
        let count = left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&left[..count]);
        self.read_bytes += count;
        Poll::Ready(Ok(count))
    }
}
