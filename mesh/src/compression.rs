//! Compression of the data that nodes pull from each other. A configuration of thousands of routes shrinks to a
//! fraction, and the links of many nodes are narrow.

use std::{
    io::{self, Read as _, Write as _},
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

/// The value of `Content-Encoding` and `Accept-Encoding` for data from [`compress`].
pub(crate) const ENCODING: &str = "deflate";

/// Compresses data. Speed counts more than size, because a node may have a tenth of a core.
///
/// # Errors
///
/// Writing to memory does not fail.
pub(crate) fn compress(data: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(data)?;
    encoder.finish()
}

/// Decompresses data of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the data is corrupt, incomplete or larger than the limit.
pub(crate) fn decompress(data: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    let limit_bytes = u64::try_from(limit).unwrap_or(u64::MAX);
    ZlibDecoder::new(data).take(limit_bytes.saturating_add(1)).read_to_end(&mut decompressed)?;
    if decompressed.len() > limit {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(decompressed)
}

/// The last data that was compressed. Nodes that are behind by the same changes pull the same data one after the other.
#[derive(Debug, Default)]
pub(crate) struct LastCompressed {
    last: Mutex<Option<(Bytes, Bytes)>>,
}

impl LastCompressed {
    /// Returns the compressed form of `data`, or `None` if it cannot be compressed.
    pub(crate) fn get(&self, data: Bytes) -> Option<Bytes> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((known, compressed)) = &*last
            && *known == data
        {
            return Some(compressed.clone());
        }
        let compressed = Bytes::from(compress(&data).ok()?);
        *last = Some((data, compressed.clone()));
        Some(compressed)
    }
}

#[cfg(test)]
mod tests;
