//! Reads and writes HTTP/1.1 messages on blocking streams.

use std::io::{self, Read, Write};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end, as the head states it.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?;
        Some(decode(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.field("x-poplarbarrow-request-id").unwrap_or("")
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, more)) = rest.split_first() {
        rest = more;
        if first == b'%' && more.len() >= 2 {
            let hex = std::str::from_utf8(&more[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            rest = &more[2..];
        } else {
            bytes.push(first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A stream with the bytes that were read beyond the last message.
pub struct Connection<S> {
    pub stream: S,
    pub ahead: Vec<u8>,
}

impl<S: Read + Write> Connection<S> {
    pub fn new(stream: S) -> Connection<S> {
        Connection { stream, ahead: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let len = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..len]);
        Ok(len > 0)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the head of a message; `None` if the stream ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.read_line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            match self.read_line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message.fields.push((name.to_string(), value.trim().to_string()));
                }
            }
        }
    }

    fn read_len(&mut self, len: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.ahead.len() < len {
            match self.fill() {
                Ok(true) => {}
                other => {
                    body.append(&mut self.ahead);
                    return other;
                }
            }
        }
        body.extend(self.ahead.drain(..len));
        Ok(true)
    }

    /// Reads the body as the head states it. A response without a length ends with its connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked =
            message.field("transfer-encoding").is_some_and(|value| value.ends_with("chunked"));
        let len = message.field("content-length").and_then(|len| len.parse::<usize>().ok());
        let mut body = Vec::new();
        message.is_complete = if is_chunked {
            loop {
                let Some(line) = self.read_line()? else { break false };
                let Ok(len) = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                else {
                    break false;
                };
                if len == 0 {
                    while self.read_line()?.is_some_and(|line| !line.is_empty()) {}
                    break true;
                }
                if !self.read_len(len, &mut body)? {
                    break false;
                }
                self.read_line()?;
            }
        } else if let Some(len) = len {
            self.read_len(len, &mut body).unwrap_or(false)
        } else if is_response {
            loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => break true,
                    Err(_) => break false,
                }
            }
        } else {
            true
        };
        if is_response && !is_chunked && len.is_none() {
            body.append(&mut self.ahead);
        }
        message.body = body;
        Ok(())
    }

    /// Reads a whole message.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, is_response)?;
        Ok(Some(message))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())?;
        self.stream.flush()
    }
}
