//! Messages of HTTP/1.1 over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Conn::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ended before one began.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let field = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { line, fields: lines.filter_map(field).collect() }));
            }
            if self.fill()? == 0 {
                let is_empty = self.buffer.is_empty();
                return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the body that belongs to a head, by its length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
                body.extend(self.read_exact(size)?);
                self.read_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        self.read_exact(head.get("content-length").parse().unwrap_or(0))
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }
}

/// Sends one request on a connection of its own and returns the status, or `None` without a response.
pub fn exchange(address: SocketAddr, request: &str) -> Option<u16> {
    let mut conn = Conn::open(address).ok()?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    conn.send(request.as_bytes()).ok()?;
    conn.read_head().ok()?.map(|head| head.status())
}
