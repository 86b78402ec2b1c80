use super::{compress, decompress};

/// Guards against a pulled configuration that differs from the one that was sent.
#[test]
fn data_is_the_same_after_compression() {
    let data: Vec<u8> = (0..200_000u32).map(|n| (n / 7) as u8).collect();
    let compressed = compress(&data).expect("memory takes all bytes");
    assert!(compressed.len() < data.len() / 4, "{}", compressed.len());
    assert_eq!(decompress(&compressed, data.len()).expect("intact data"), data);
}

/// Guards against a small response that fills the memory of the node that reads it.
#[test]
fn data_beyond_the_limit_is_refused() {
    let compressed = compress(&vec![0; 10_000_000]).expect("memory takes all bytes");
    assert!(decompress(&compressed, 1_000_000).is_err());
}

/// Guards against a cut response that is taken as the whole data.
#[test]
fn cut_data_is_refused() {
    let data: Vec<u8> = (0..50_000u32).flat_map(u32::to_le_bytes).collect();
    let compressed = compress(&data).expect("memory takes all bytes");
    assert!(decompress(&compressed[..compressed.len() / 2], data.len()).is_err());
}
