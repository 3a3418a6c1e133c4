//! A QUIC stream between two hosts as a byte stream, and the messages at its beginning.

use crate::handoff::message::to_frame;
use crate::prelude::*;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use quinn::{RecvStream, SendStream};
use std::io::{Error, ErrorKind as IoErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Both directions of a stream.
#[derive(Debug)]
pub struct PeerStream {
    /// The direction to the other host.
    pub send: SendStream,
    /// The direction from the other host.
    pub receive: RecvStream,
}

impl PeerStream {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke, or that the message cannot be serialised.
    pub async fn write_message(&mut self, message: &impl Serialize) -> std::io::Result<()> {
        let frame = to_frame(message).map_err(Error::other)?;
        AsyncWriteExt::write_all(&mut self.send, &frame).await
    }

    /// Reads a message of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke, or that the message is too long or malformed.
    pub async fn read_message<T: for<'de> Deserialize<'de>>(
        &mut self,
        max_bytes: usize,
    ) -> std::io::Result<T> {
        let mut length = [0; 4];
        AsyncReadExt::read_exact(&mut self.receive, &mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > max_bytes {
            return Err(Error::new(
                IoErrorKind::InvalidData,
                "the message is too long",
            ));
        }
        let mut body = vec![0; length];
        AsyncReadExt::read_exact(&mut self.receive, &mut body).await?;
        postcard::from_bytes(&body).map_err(|error| Error::new(IoErrorKind::InvalidData, error))
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.receive), context, buffer)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.send), context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.send), context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        AsyncWrite::poll_close(Pin::new(&mut self.send), context)
    }
}
