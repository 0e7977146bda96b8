//! Waits for conditions, and reads what the processes log.

use super::{Bench, PATIENCE, POLL, read_answer};
use std::time::Instant;

impl Bench {
    /// Waits until a condition holds, and fails the test if it does not in time.
    pub async fn wait_for(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + PATIENCE;
        while !holds().await {
            assert!(
                Instant::now() < deadline,
                "in vain waited until {what}\n{}",
                self.log_tail()
            );
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Returns how often the processes' common log contains a text.
    pub fn log_count(&self, text: &str) -> usize {
        std::fs::read_to_string(&self.log)
            .unwrap_or_default()
            .matches(text)
            .count()
    }

    /// Returns the lines of the processes' common log that contain a text.
    pub fn log_lines(&self, text: &str) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
        lines.join("\n")
    }

    /// Returns the text of a router's metrics.
    pub async fn router_metrics(&self, name: &str) -> String {
        let url = format!("http://{}/metrics", self.boxes[name].files.router_metrics);
        read_answer(self.client.get(url).send().await).await.body
    }

    /// Returns the end of the processes' common log.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 25;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let errors = lines
            .iter()
            .filter(|line| line.starts_with("Error") || line.contains("panicked"));
        let tail = lines[lines.len().saturating_sub(LINES)..].iter();
        errors.chain(tail).copied().collect::<Vec<_>>().join("\n")
    }
}
