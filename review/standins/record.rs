//! The record of a run: what was sent, answered and run, with the seconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        });
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
