//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// A message as it was read: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub heads: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing announces.
    pub whole: bool,
}

impl Message {
    pub fn head(&self, key: &str) -> &str {
        self.heads.iter().find(|h| h.0.eq_ignore_ascii_case(key)).map_or("", |h| h.1.as_str())
    }

    pub fn has(&self, key: &str) -> bool {
        self.heads.iter().any(|h| h.0.eq_ignore_ascii_case(key))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|t| t.parse().ok()).unwrap_or(0)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub tcp: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(tcp: TcpStream) -> Conn {
        let _ = tcp.set_nodelay(true);
        Conn { tcp, ahead: Vec::new() }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut part = [0u8; 16384];
        let n = self.tcp.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|b| *b == b'\n') {
                let raw: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&raw).trim_end_matches(['\r', '\n']).to_string()));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    /// First line and headers; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut out = Message { line, ..Message::default() };
        loop {
            let Some(row) = self.line()? else { return Ok(None) };
            if row.is_empty() {
                return Ok(Some(out));
            }
            if let Some((key, value)) = row.split_once(':') {
                out.heads.push((key.trim().to_string(), value.trim().to_string()));
            }
        }
    }

    fn exact(&mut self, n: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = n;
        while left > 0 {
            if self.ahead.is_empty() && self.more()? == 0 {
                return Ok(false);
            }
            let take = left.min(self.ahead.len());
            into.extend(self.ahead.drain(..take));
            left -= take;
        }
        Ok(true)
    }

    /// Reads the body of a message; `answer`: without a length it goes on to the end of the connection.
    pub fn read_body(&mut self, m: &mut Message, answer: bool) -> io::Result<()> {
        let mut body = Vec::new();
        let done = self.body_into(m, answer, &mut body);
        m.body = body;
        m.whole = done.as_ref().is_ok_and(|whole| *whole);
        done.map(|_| ())
    }

    fn body_into(&mut self, m: &Message, answer: bool, body: &mut Vec<u8>) -> io::Result<bool> {
        if m.head("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(row) = self.line()? else { return Ok(false) };
                let Ok(n) = usize::from_str_radix(row.split(';').next().unwrap_or("").trim(), 16) else {
                    return Ok(false);
                };
                if n == 0 {
                    return Ok(self.line()?.is_some());
                }
                if !self.exact(n, body)? || self.line()?.is_none() {
                    return Ok(false);
                }
            }
        }
        if m.has("content-length") {
            return self.exact(m.head("content-length").parse().unwrap_or(0), body);
        }
        if answer && m.status() != 204 {
            while self.more()? > 0 {}
            body.append(&mut self.ahead);
        }
        Ok(true)
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut m) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut m, false)?;
        Ok(m.whole.then_some(m))
    }

    pub fn write(&mut self, raw: &[u8]) -> io::Result<()> {
        self.tcp.write_all(raw)
    }
}

/// One call on a connection of its own.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let mut c = Conn::connect(addr)?;
    c.tcp.set_read_timeout(Some(wait))?;
    let text = format!("{head}content-length: {}\r\nconnection: close\r\n\r\n", body.len());
    c.write(text.as_bytes())?;
    c.write(body)?;
    let Some(mut m) = c.read_head()? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
    c.read_body(&mut m, true)?;
    Ok(m)
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddr, len: u32) -> i32;
    pub fn kill(pid: i32, signal: i32) -> i32;
}

#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

/// A connection with the segment size and the small window of a machine on an ordinary network.
pub fn connect_far(addr: SocketAddrV4, segment: i32, window: i32) -> io::Result<TcpStream> {
    let (inet, stream, level, tcp_level, rcvbuf, maxseg) = (2, 1, 1, 6, 8, 2);
    let ip: Ipv4Addr = *addr.ip();
    unsafe {
        let fd = socket(inet, stream, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let tcp = TcpStream::from_raw_fd(fd);
        setsockopt(fd, level, rcvbuf, &window, 4);
        setsockopt(fd, tcp_level, maxseg, &segment, 4);
        let to = SockAddr {
            family: inet as u16,
            port: addr.port().to_be(),
            ip: u32::from_ne_bytes(ip.octets()),
            zero: [0; 8],
        };
        if connect(fd, &to, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(tcp)
    }
}
