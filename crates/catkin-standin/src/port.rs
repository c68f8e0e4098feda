//! Reserved ports for programs whose address must be known before they start.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A loopback port that is reserved for one program, even while that program is not running.
///
/// The socket is bound but never listens. A program that sets `SO_REUSEADDR`, as listeners do by default, can bind the
/// same port. The system does not assign the port to sockets that ask for any free port.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    addr: SocketAddr,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    /// Fails if no port is free, or if no socket can be created.
    pub fn new() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let addr = socket.local_addr()?.as_socket();
        let addr = addr.ok_or_else(|| io::Error::other("the bound socket has no IP address"))?;
        Ok(Self { _socket: socket, addr })
    }

    /// The loopback address with the reserved port.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}
