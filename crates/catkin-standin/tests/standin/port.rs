//! Kept ports.

use catkin_standin::port::Kept;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::TcpListener;

/// More than enough to find a port by chance among those that the system gives out.
const TRIES: usize = 200_000;

#[test]
fn a_kept_port_is_given_to_nobody_else() {
    let kept = Kept::new().expect("a port");
    for _ in 0..TRIES {
        let other = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        assert_ne!(other.expect("a port"), kept.addr());
    }
    let strict = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let taken = strict.bind(&kept.addr().into()).expect_err("the port is kept");
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
}

#[test]
fn its_program_can_listen_on_it_again_and_again() {
    let kept = Kept::new().expect("a port");
    for _ in 0..3 {
        drop(TcpListener::bind(kept.addr()).expect("it listens"));
    }
}
