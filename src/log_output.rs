//! Non-blocking log output to standard output.
//!
//! Lines go through a bounded queue to a separate thread, which writes them in batches. If the
//! reader of standard output is too slow, lines are dropped and their number is logged in their
//! place.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::Record;
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The maximum number of queued lines; at 300 bytes a line they take about 1 MB.
const MAX_QUEUED_LINES: usize = 4096;
/// The delay before a batch is written, so that the thread does not wake for each line.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The maximum time for writing the remaining lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Queues log lines for the writer thread.
#[derive(Debug)]
pub struct BoundedLogWriter {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<PendingLines>,
}

/// The number of queued lines that are not written yet.
#[derive(Debug, Default)]
struct PendingLines {
    count: Mutex<usize>,
    changed: Condvar,
}

impl BoundedLogWriter {
    /// Starts the writer thread.
    pub fn start() -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(PendingLines::default());
        let (thread_dropped, thread_pending) = (dropped.clone(), pending.clone());
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&rx, &thread_dropped, &thread_pending))?;
        Ok(Self {
            tx,
            dropped,
            pending,
        })
    }
}

fn write_batches(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64, pending: &PendingLines) {
    while let Ok(first) = rx.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut batch = first;
        let mut lines = 1;
        for line in rx.try_iter().take(MAX_QUEUED_LINES) {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"text\":\"{dropped_lines} log lines were dropped\"}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        if io::stdout().lock().write_all(&batch).is_err() {
            dropped.fetch_add(lines, Ordering::Relaxed);
        }
        let mut count = pending.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count = count.saturating_sub(usize::try_from(lines).unwrap_or(usize::MAX));
        pending.changed.notify_all();
    }
}

impl LogWriter for BoundedLogWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        let mut count = self
            .pending
            .count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match self.tx.try_send(line) {
            Ok(()) => *count += 1,
            Err(_queue_full) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let count = self
            .pending
            .count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .pending
            .changed
            .wait_timeout_while(count, FLUSH_TIMEOUT, |count| *count > 0);
        match waited {
            Ok((_, timeout)) if timeout.timed_out() => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }
}
