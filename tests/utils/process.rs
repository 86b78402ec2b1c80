//! Programs of the project as child processes.

use std::{
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
};

/// A running program, which is killed when the test ends early.
pub(crate) struct Process {
    child: Child,
    /// The first line of its output, which names its addresses.
    pub(crate) greeting: String,
}

impl Process {
    /// Starts a program and reads the first line of its output.
    pub(crate) fn start(program: &str, args: &[&str], log: &Path) -> Process {
        let log = std::fs::File::create(log).expect("a log file");
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let mut greeting = String::new();
        let out = child.stdout.take().expect("piped output");
        BufReader::new(out).read_line(&mut greeting).expect("a line of output");
        Process { child, greeting }
    }

    /// Returns the value of a key in the greeting.
    pub(crate) fn value(&self, key: &str) -> String {
        let mut words = self.greeting.split_whitespace();
        let value = words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
        value.unwrap_or_else(|| panic!("no {key} in {}", self.greeting)).to_owned()
    }

    /// Sends a signal to this process only.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Kills this process only and waits for its end.
    #[allow(dead_code)] // Each test program uses a part of it.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process is ours");
        self.child.wait().expect("the process ends");
    }

    /// Asks the program to stop and returns its exit code.
    pub(crate) fn stop(mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().expect("the program ends").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
