//! HTTP/1.1 over blocking sockets, for servers with a thread for each connection and for clients that read byte by byte.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the method and the path of a request with its query.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Connection::new(stream))
    }

    fn fill(&mut self) -> Option<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes).ok()?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(count)
    }

    /// Reads a head, or returns `None` if the connection ends before its end.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Message { first_line, headers: headers.collect(), ..Message::default() })
    }

    /// Moves `count` bytes of a body into a buffer, and returns whether they arrived.
    fn take(&mut self, count: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < count {
            match self.fill() {
                Some(1..) => {}
                _ => {
                    into.append(&mut self.buffer);
                    return false;
                }
            }
        }
        into.extend(self.buffer.drain(..count));
        true
    }

    /// Reads a message with its body. A response without a length ends with its connection.
    pub fn read_message(&mut self, is_response: bool) -> Option<Message> {
        let mut message = self.read_head()?;
        let mut body = Vec::new();
        message.is_whole = if message.header("transfer-encoding").contains("chunked") {
            self.read_chunks(&mut body)
        } else if let Ok(length) = message.header("content-length").parse() {
            self.take(length, &mut body)
        } else if is_response {
            while matches!(self.fill(), Some(1..)) {}
            body.append(&mut self.buffer);
            true
        } else {
            true
        };
        message.body = body;
        Some(message)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                if !self.take(1, &mut line) {
                    return false;
                }
            }
            let line = String::from_utf8_lossy(&line).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            else {
                return false;
            };
            let mut chunk = Vec::new();
            if !self.take(size + 2, &mut chunk) {
                body.extend_from_slice(&chunk[..chunk.len().min(size)]);
                return false;
            }
            chunk.truncate(size);
            body.append(&mut chunk);
            if size == 0 {
                return true;
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns the number of bytes that were read beyond the last message, and drops them.
    pub fn buffered(&mut self) -> usize {
        std::mem::take(&mut self.buffer).len()
    }
}

/// Sends a request on a new connection and returns the response.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Option<Message> {
    let mut conn = Connection::open(address)?;
    let _ = conn.stream.set_read_timeout(Some(timeout));
    let head = format!(
        "{head}\r\nhost: node\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    if !conn.write(&[head.as_bytes(), body].concat()) {
        return None;
    }
    conn.read_message(true)
}
