//! Messages over the Unix socket between two processes of a gateway, and the listening socket that
//! is passed with one of them.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use valehatch_hot_restart::messages::{self, HEADER_BYTES, HandoffMessage};

/// A message, and the socket that was passed with it.
pub(super) struct MessageWithSocket {
    pub message: HandoffMessage,
    pub listener: Option<TcpListener>,
}

pub(super) fn invalid_data(text: String) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, text)
}

pub(super) fn send(mut stream: &UnixStream, message: &HandoffMessage) -> io::Result<()> {
    stream.write_all(&messages::encode(message))
}

/// Waits for the next message.
pub(super) fn receive(mut stream: &UnixStream) -> io::Result<HandoffMessage> {
    let mut head = [0; HEADER_BYTES];
    stream.read_exact(&mut head)?;
    receive_body(stream, head)
}

fn receive_body(stream: &UnixStream, head: [u8; HEADER_BYTES]) -> io::Result<HandoffMessage> {
    let length = messages::decode_length(head).map_err(|e| invalid_data(e.to_string()))?;
    let mut body = vec![];
    if stream.take(length as u64).read_to_end(&mut body)? < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    messages::decode(&body).map_err(|e| invalid_data(e.to_string()))
}

/// Sends a message with the socket attached to its first byte; returns the number of bytes sent.
pub(super) fn send_with_listener(
    mut stream: &UnixStream,
    message: &HandoffMessage,
    listener: Option<&TcpListener>,
) -> io::Result<usize> {
    let bytes = messages::encode(message);
    stream.set_write_timeout(Some(super::WRITE_TIMEOUT))?;
    let sockets: Vec<_> = listener.into_iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !sockets.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
    }
    let sent = retry_on_intr(|| {
        let parts = [IoSlice::new(&bytes)];
        rustix::net::sendmsg(stream, &parts, &mut ancillary, SendFlags::NOSIGNAL)
    })?;
    stream.write_all(&bytes[sent..])?;
    Ok(bytes.len())
}

/// Waits for the next message and receives the socket attached to its first byte.
pub(super) fn receive_with_listener(mut stream: &UnixStream) -> io::Result<MessageWithSocket> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut head = [0; HEADER_BYTES];
    // Any signal, including SIGHUP, interrupts a read with a timeout.
    let received = retry_on_intr(|| {
        let mut parts = [IoSliceMut::new(&mut head)];
        rustix::net::recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)
    })?;
    let mut sockets: Vec<OwnedFd> = vec![];
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            sockets.extend(descriptors);
        }
    }
    if received.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    stream.read_exact(&mut head[received.bytes..])?;
    let message = receive_body(stream, head)?;
    Ok(MessageWithSocket {
        message,
        listener: sockets.pop().map(TcpListener::from),
    })
}
