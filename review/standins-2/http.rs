//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A status and a body. No answer is given and the connection is closed if it is absent.
pub type Answer = Option<(u16, String)>;

pub fn serve(address: SocketAddr, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let builder = std::thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

/// A server that can go away, with all its channels, and come back at the same address.
#[derive(Clone)]
pub struct Switch {
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Switch {
    pub fn new() -> Self {
        Self { is_up: Arc::new(AtomicBool::new(true)), streams: Arc::default() }
    }

    /// Closes the listener and all channels. From then on the address refuses connections.
    pub fn down(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(5));
        self.streams.lock().unwrap().drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    pub fn up(&self) {
        self.is_up.store(true, Ordering::SeqCst);
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }
}

/// Serves like [`serve`], while the switch is up.
pub fn serve_switched(address: SocketAddr, switch: Switch, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> io::Result<()> {
    let mut listener = Some(TcpListener::bind(address)?);
    let handler = Arc::new(handler);
    std::thread::spawn(move || loop {
        if !switch.is_up() {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            let _ = listener.set_nonblocking(true);
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                if let Ok(clone) = stream.try_clone() {
                    switch.streams.lock().unwrap().push(clone);
                }
                let handler = handler.clone();
                let builder = std::thread::Builder::new().stack_size(128 * 1024);
                let _ = builder.spawn(move || serve_connection(stream, &*handler));
            }
        }
        std::thread::sleep(Duration::from_micros(300));
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default().to_owned(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path: decode(path), query, headers, body }))
}

fn decode(text: &str) -> String {
    let (mut bytes, raw) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < raw.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| raw[at] == b'%').and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (digits, raw[at]) {
            (Some(byte), _) => {
                bytes.push(byte);
                at += 2;
            }
            (None, b'+') => bytes.push(b' '),
            (None, byte) => bytes.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A request that a client has sent and that is not answered yet.
pub struct Pending {
    stream: TcpStream,
    deadline: Instant,
}

/// Sends a request on a new channel.
pub fn send(address: SocketAddr, method: &str, path: &str, headers: &[(&str, String)], body: &str, wait: Duration) -> io::Result<Pending> {
    let deadline = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait.min(Duration::from_secs(2)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(wait))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    stream.write_all((head + "\r\n" + body).as_bytes())?;
    Ok(Pending { stream, deadline })
}

impl Pending {
    /// Waits for the answer until the time given with the request has passed.
    pub fn answer(self) -> io::Result<(u16, String)> {
        let left = self.deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        let mut reader = BufReader::new(self.stream);
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = read_body(&mut reader, &headers)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Sends further bytes on the channel.
    pub fn write(&mut self, bytes: &str) -> io::Result<()> {
        self.stream.write_all(bytes.as_bytes())
    }
}

pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    wait: Duration,
) -> io::Result<(u16, String)> {
    send(address, method, path, headers, body, wait)?.answer()
}
