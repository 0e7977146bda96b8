//! What was sent, answered and run, in the order of time.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whether the rule of a case held, with the figures.
pub enum Verdict {
    Held(String),
    Broken(String),
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.to_owned()));
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            text.push_str(&format!("{:8.3} s  {line}\n", at.as_secs_f64()));
        }
        std::fs::write(path, text)
    }
}
