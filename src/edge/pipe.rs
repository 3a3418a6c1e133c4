//! A bounded pipe of byte chunks from a task to an HTTP body.

use smol::channel::{Receiver, Sender, bounded};
use smol::io::AsyncRead;
use smol::stream::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Most chunks between the task and the body: a slow reader holds its own task up and nobody else.
const MAX_CHUNKS: usize = 16;

/// Makes a pipe.
pub fn pipe() -> (Sender<Vec<u8>>, ChunkReader) {
    let (sender, receiver) = bounded(MAX_CHUNKS);
    (
        sender,
        ChunkReader {
            receiver: Box::pin(receiver),
            chunk: Vec::new(),
            read_bytes: 0,
        },
    )
}

/// The reading end. It ends when the sender is dropped.
#[derive(Debug)]
pub struct ChunkReader {
    receiver: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    read_bytes: usize,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.read_bytes >= self.chunk.len() {
            match self.receiver.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(chunk)) => {
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
