//! Waits for conditions, and reads the logs and metrics of the processes.

use super::{Bench, POLL_INTERVAL, WAIT_TIMEOUT, read_answer};
use std::time::Instant;

impl Bench {
    /// Polls a condition until it holds; fails the test after [`WAIT_TIMEOUT`].
    pub async fn wait_for(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds().await {
            assert!(
                Instant::now() < deadline,
                "timed out waiting until {what}\n{}",
                self.log_tail()
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of occurrences of a text in the common log of all processes.
    pub fn log_count(&self, text: &str) -> usize {
        std::fs::read_to_string(&self.log_file)
            .unwrap_or_default()
            .matches(text)
            .count()
    }

    /// Returns the lines of the common log that contain a text.
    pub fn log_lines(&self, text: &str) -> String {
        let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
        lines.join("\n")
    }

    /// Returns a router's metrics in the text format.
    pub async fn router_metrics(&self, name: &str) -> String {
        let url = format!("http://{}/metrics", self.boxes[name].files.router_metrics);
        read_answer(self.client.get(url).send().await).await.body
    }

    /// Returns the last lines of the common log, preceded by all errors and panics in it.
    pub fn log_tail(&self) -> String {
        const TAIL_LINES: usize = 25;
        let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let errors = lines
            .iter()
            .filter(|line| line.starts_with("Error") || line.contains("panicked"));
        let tail = lines[lines.len().saturating_sub(TAIL_LINES)..].iter();
        errors.chain(tail).copied().collect::<Vec<_>>().join("\n")
    }
}
