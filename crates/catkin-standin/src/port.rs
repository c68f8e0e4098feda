//! Ports that are kept for a program that is told its address before it starts.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A port of this machine that is kept for one program, also while that program is down.
///
/// The socket is bound and never listens: a program that reuses addresses, as listeners do by default, can bind the
/// port beside it, while the system gives it to nobody who asks for any free port.
#[derive(Debug)]
pub struct Kept {
    _socket: Socket,
    addr: SocketAddr,
}

impl Kept {
    /// Keeps a free port.
    ///
    /// # Errors
    /// There is none, or no socket can be had.
    pub fn new() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let addr = socket.local_addr()?.as_socket();
        let addr = addr.ok_or_else(|| io::Error::other("the socket has no address"))?;
        Ok(Self { _socket: socket, addr })
    }

    /// The port, with the address of this machine.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}
