//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub expected_instance: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a decoded parameter of the query.
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let value = pairs.filter(|(k, _)| *k == name).map(|(_, v)| v).next()?;
        let mut out = Vec::new();
        let mut bytes = value.bytes();
        while let Some(b) = bytes.next() {
            if b == b'%' {
                let hex = [bytes.next()?, bytes.next()?];
                out.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
            } else {
                out.push(b);
            }
        }
        String::from_utf8(out).ok()
    }
}

/// What a handler does with a request.
pub enum Answer {
    Send(u16, String),
    /// Keeps the connection open and answers nothing on it any more.
    Silence,
}

/// Whether a server answers.
#[derive(Clone, Default)]
pub struct Power(Arc<AtomicU8>);

impl Power {
    const ON: u8 = 0;
    const SILENT: u8 = 1;
    const CLOSED: u8 = 2;

    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst) == Self::ON
    }

    pub fn turn_on(&self) {
        self.0.store(Self::ON, Ordering::SeqCst);
    }

    /// Answers nothing, like a host without power.
    pub fn silence(&self) {
        self.0.store(Self::SILENT, Ordering::SeqCst);
    }

    /// Closes all connections, like a host whose process has ended.
    pub fn close(&self) {
        self.0.store(Self::CLOSED, Ordering::SeqCst);
    }

    fn is_closed(&self) -> bool {
        self.0.load(Ordering::SeqCst) == Self::CLOSED
    }
}

/// Serves on a free port of the loopback interface until the process ends.
pub fn serve<F>(power: Power, handler: F) -> SocketAddr
where
    F: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (power, handler) = (power.clone(), Arc::clone(&handler));
            std::thread::spawn(move || serve_connection(stream, &power, &*handler));
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, power: &Power, handler: &dyn Fn(Request) -> Answer) {
    if power.is_closed() {
        return;
    }
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(req) = read_request(&mut input) {
        let answer = if power.is_on() { handler(req) } else { Answer::Silence };
        if power.is_closed() {
            return;
        }
        match answer {
            Answer::Send(status, body) if power.is_on() => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if out.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            // The rest is read and dropped until the caller closes the connection.
            _ => {
                let mut buf = [0; 4096];
                while input.read(&mut buf).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut expected_instance) = (0, None);
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "expected-instance" => expected_instance = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        expected_instance,
        body,
    })
}

/// Sends a request on a connection of its own. Returns the status and the body, or `None` without a whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text +=
        &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
