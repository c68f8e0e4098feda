//! A small HTTP/1.1 server and client, with one thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// The status and the body of a response; `None` closes the connection without one.
pub type Response = Option<(u16, String)>;
/// Answers requests.
pub type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

struct Connection {
    stream: TcpStream,
    silent: Arc<AtomicBool>,
}

/// A server on a loopback address.
pub struct Server {
    pub addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Connection>>>,
}

impl Server {
    /// Starts a server at `port`; 0 stands for a free one.
    pub fn start(port: u16, handler: Handler) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("no port");
        let addr = listener.local_addr().expect("no address");
        listener.set_nonblocking(true).expect("no listener");
        let server = Self { addr, stopped: Arc::default(), connections: Arc::default() };
        let (stopped, connections) = (Arc::clone(&server.stopped), Arc::clone(&server.connections));
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let silent = Arc::new(AtomicBool::new(false));
                let Ok(copy) = stream.try_clone() else { continue };
                connections
                    .lock()
                    .unwrap()
                    .push(Connection { stream: copy, silent: Arc::clone(&silent) });
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve(stream, &handler, &silent));
            }
        });
        server
    }

    /// Keeps all connections that are open now, and answers nothing on them any more. New ones work.
    pub fn silence_open_connections(&self) -> usize {
        let open = self.connections.lock().unwrap();
        let alive = open.iter().filter(|c| c.stream.take_error().is_ok() && is_open(&c.stream));
        alive.map(|c| c.silent.store(true, Ordering::Relaxed)).count()
    }

    /// Closes the port and all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        // The listener is closed within a millisecond or two.
        std::thread::sleep(Duration::from_millis(5));
        for c in self.connections.lock().unwrap().drain(..) {
            let _ = c.stream.shutdown(Shutdown::Both);
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    stream.peer_addr().is_ok()
}

fn serve(mut stream: TcpStream, handler: &Handler, silent: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(req) = read_request(&mut reader) {
        if silent.load(Ordering::Relaxed) {
            continue;
        }
        let res = handler(&req);
        if silent.load(Ordering::Relaxed) {
            continue;
        }
        let Some((status, body)) = res else { break };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(k, v)| (decode(k), decode(v))).collect();
    let len = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request over a new connection. Returns the status and the body, or why there is no response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&addr, timeout).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("Content-Type: application/json\r\nConnection: close\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or("no response")?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let mut bytes = Vec::new();
    match headers.get("content-length").and_then(|n| n.parse::<usize>().ok()) {
        Some(len) => {
            bytes.resize(len, 0);
            reader.read_exact(&mut bytes).map_err(text)?;
        }
        None => {
            reader.read_to_end(&mut bytes).map_err(text)?;
        }
    }
    Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
}
