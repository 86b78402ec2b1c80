//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<(File, Vec<String>)>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { shared: Arc::new(Mutex::new((file, Vec::new()))), started: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time since the start in seconds.
    pub fn write(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.now().as_secs_f64());
        let mut shared = self.shared.lock().expect("the record");
        let _ = writeln!(shared.0, "{line}");
        shared.1.push(line);
    }

    /// Returns whether a line contains a text.
    pub fn contains(&self, text: &str) -> bool {
        self.shared.lock().expect("the record").1.iter().any(|line| line.contains(text))
    }

    /// Returns the times of the lines that contain both texts.
    pub fn times(&self, first: &str, second: &str) -> Vec<Duration> {
        let shared = self.shared.lock().expect("the record");
        let lines = shared.1.iter().filter(|line| line.contains(first) && line.contains(second));
        let time = |line: &String| line.trim_start().split(' ').next()?.parse().ok();
        lines.filter_map(time).map(Duration::from_secs_f64).collect()
    }
}
