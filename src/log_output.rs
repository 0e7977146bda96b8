//! Log lines to standard output that never hold up the process.
//!
//! Lines go through a bounded queue to a thread of their own, which writes them in
//! batches. When the reader of standard output is slow, lines are dropped and counted,
//! and the count is logged in their place.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::Record;
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Lines that may wait; at 300 bytes a line they take a megabyte.
const QUEUE: usize = 4096;
/// The pause between two batches, which keeps the thread from waking for each line.
const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// How long the end of the process waits for the last lines.
const FLUSH_WAIT: Duration = Duration::from_millis(300);

/// Sends log lines to the writing thread.
#[derive(Debug)]
pub struct BoundedOutput {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    queued: Arc<Queued>,
}

/// The lines that are not written yet.
#[derive(Debug, Default)]
struct Queued {
    count: Mutex<usize>,
    changed: Condvar,
}

impl BoundedOutput {
    /// Starts the writing thread.
    pub fn start() -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let queued = Arc::new(Queued::default());
        let (counter, waiting) = (dropped.clone(), queued.clone());
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&rx, &counter, &waiting))?;
        Ok(Self {
            tx,
            dropped,
            queued,
        })
    }
}

fn write_batches(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64, queued: &Queued) {
    while let Ok(first) = rx.recv() {
        std::thread::sleep(BATCH_PAUSE);
        let mut batch = first;
        let mut lines = 1;
        for line in rx.try_iter().take(QUEUE) {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"text\":\"{lost} log lines were dropped\"}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        if io::stdout().lock().write_all(&batch).is_err() {
            dropped.fetch_add(lines, Ordering::Relaxed);
        }
        let mut count = queued.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count = count.saturating_sub(usize::try_from(lines).unwrap_or(usize::MAX));
        queued.changed.notify_all();
    }
}

impl LogWriter for BoundedOutput {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        let mut count = self
            .queued
            .count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match self.tx.try_send(line) {
            Ok(()) => *count += 1,
            Err(_full) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let count = self
            .queued
            .count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .queued
            .changed
            .wait_timeout_while(count, FLUSH_WAIT, |count| *count > 0);
        match waited {
            Ok((_, timeout)) if timeout.timed_out() => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }
}
