//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Recorder {
    pub started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Recorder {
    pub fn new(folder: &Path) -> Recorder {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Recorder { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    pub fn write(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
