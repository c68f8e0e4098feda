//! Tests of reserved ports.

use catkin_standin::port::ReservedPort;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::TcpListener;

/// Enough binds to be assigned any single ephemeral port by chance, if it were not reserved.
const TRIES: usize = 200_000;

#[test]
fn reserved_port_is_not_assigned_to_other_sockets() {
    let reserved = ReservedPort::new().expect("cannot reserve a port");
    for _ in 0..TRIES {
        let assigned = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        assert_ne!(assigned.expect("cannot bind any free port"), reserved.addr());
    }
    let strict = Socket::new(Domain::IPV4, Type::STREAM, None).expect("cannot create a socket");
    let bind_error = strict
        .bind(&reserved.addr().into())
        .expect_err("bound a reserved port without address reuse");
    assert_eq!(bind_error.kind(), ErrorKind::AddrInUse);
}

#[test]
fn reserved_port_can_be_bound_repeatedly() {
    let reserved = ReservedPort::new().expect("cannot reserve a port");
    for _ in 0..3 {
        drop(TcpListener::bind(reserved.addr()).expect("cannot listen on the reserved port"));
    }
}
