//! Finds the heads of requests in the bytes that a server reads from a connection.
//!
//! The HTTP library parses the same bytes, but only after the answers to the requests before. The scanner is stricter than
//! the library: where it cannot tell where a request ends, or whether another one follows, it ends.

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Uri, header};

/// The most bytes of a head, which is also the most that the scanner buffers. It ends at a larger head.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;

/// The most fields of a head, which bounds what is parsed on the stack. The scanner ends at a head with more.
const MAX_FIELDS: usize = 100;

/// A complete head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// The position of its first byte on the connection.
    pub(crate) position: u64,
    bytes: Bytes,
    /// The length of the body that follows it.
    pub(crate) body_len: u64,
}

/// The state of scanning one connection.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// The position of the next byte on the connection.
    position: u64,
    /// The beginning of a head that is not complete.
    partial: BytesMut,
    line: Line,
    /// The bytes of a body that are still to come.
    body_left: u64,
    is_ended: bool,
}

/// What has been read of the current line of a head.
#[derive(Copy, Clone, Debug, Default)]
enum Line {
    #[default]
    Empty,
    /// A carriage return alone.
    Return,
    Text,
}

/// How a head continues the connection.
struct Framing {
    body_len: u64,
    /// Whether no further request can be told from the bytes behind it.
    is_last: bool,
}

impl HeadScanner {
    /// Returns the heads that these bytes complete.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        while !self.is_ended && !bytes.is_empty() {
            let skipped = usize::try_from(self.body_left).unwrap_or(usize::MAX).min(bytes.len());
            self.body_left -= skipped as u64;
            self.position += skipped as u64;
            bytes = &bytes[skipped..];
            let read = self.read_head(bytes, &mut heads);
            self.position += read as u64;
            bytes = &bytes[read..];
        }
        heads
    }

    /// Returns whether the scanner reads no further.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended
    }

    fn end(&mut self) {
        self.is_ended = true;
        self.partial = BytesMut::new();
    }

    /// Reads to the end of the head, or all bytes if it is not among them. Returns the number of bytes read.
    fn read_head(&mut self, bytes: &[u8], heads: &mut Vec<Head>) -> usize {
        let mut start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.line = match (self.line, byte) {
                (Line::Text, b'\n') => Line::Empty,
                (Line::Empty, b'\r') => Line::Return,
                (Line::Empty | Line::Return, b'\n') => {
                    self.line = Line::Empty;
                    let end = index + 1;
                    // Empty lines before a head are not part of it. One that was cut may be buffered in part.
                    let is_leading = self.partial.iter().chain(&bytes[start..end]).all(is_newline);
                    if is_leading {
                        self.partial.clear();
                        start = end;
                        continue;
                    }
                    self.partial.extend_from_slice(&bytes[start..end]);
                    self.complete_head(self.position + end as u64, heads);
                    return end;
                }
                _ => Line::Text,
            };
        }
        self.partial.extend_from_slice(&bytes[start..]);
        if self.partial.len() > MAX_HEAD_BYTES {
            self.end();
        }
        bytes.len()
    }

    /// Takes the buffered head, which ends at `end`.
    fn complete_head(&mut self, end: u64, heads: &mut Vec<Head>) {
        let bytes = self.partial.split().freeze();
        let framing = (bytes.len() <= MAX_HEAD_BYTES).then(|| framing(&bytes)).flatten();
        let Some(Framing { body_len, is_last }) = framing else { return self.end() };
        self.body_left = body_len;
        heads.push(Head { position: end - bytes.len() as u64, bytes, body_len });
        if is_last {
            self.end();
        }
    }
}

impl Head {
    /// Parses the head as the library does; `None` if it may take it for another request.
    pub(crate) fn parse(&self) -> Option<Request<()>> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let parsed = parse(&self.bytes, &mut fields)?;
        let mut req = Request::new(());
        *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
        *req.uri_mut() = Uri::try_from(parsed.path?).ok()?;
        let headers = req.headers_mut();
        headers.reserve(parsed.headers.len());
        for field in parsed.headers {
            let name = header::HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            headers.append(name, header::HeaderValue::from_bytes(field.value).ok()?);
        }
        Some(req)
    }
}

fn is_newline(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

fn parse<'h, 'b>(
    bytes: &'b [u8],
    fields: &'h mut [httparse::Header<'b>],
) -> Option<httparse::Request<'h, 'b>> {
    let mut req = httparse::Request::new(fields);
    match req.parse(bytes) {
        Ok(httparse::Status::Complete(len)) if len == bytes.len() => Some(req),
        _ => None,
    }
}

/// Returns how the connection goes on behind a head; `None` if the head or its body cannot be read, or if it is not one of
/// the current version.
fn framing(bytes: &[u8]) -> Option<Framing> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let req = parse(bytes, &mut fields)?;
    if req.version != Some(1) || req.method == Some("CONNECT") {
        return None;
    }
    let mut body_len = None;
    let mut is_last = false;
    for field in req.headers.iter() {
        let is = |name: header::HeaderName| field.name.eq_ignore_ascii_case(name.as_str());
        if is(header::CONTENT_LENGTH) {
            let len = parse_length(field.value)?;
            if body_len.replace(len).is_some() {
                return None;
            }
        } else if is(header::TRANSFER_ENCODING) || is(header::EXPECT) || is(header::UPGRADE) {
            return None;
        } else if is(header::CONNECTION) {
            is_last |= !field.value.eq_ignore_ascii_case(b"keep-alive");
        }
    }
    Some(Framing { body_len: body_len.unwrap_or(0), is_last })
}

/// Parses the value of `Content-Length`. A sign is not a digit, although the standard parser takes it.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}

#[cfg(test)]
mod tests;
