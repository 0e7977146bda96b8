//! A process that gets only a part of a processor.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// How long the process runs at a time. It is then stopped until its share of the time is used.
const RUN_TIME: Duration = Duration::from_millis(2);

/// Stops and continues a process by turns until dropped.
#[derive(Debug)]
pub struct Throttle {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Leaves a child process this part of a processor at most. The process must not be waited for
    /// before this is dropped.
    pub fn start(process: i32, share: f64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let pause = RUN_TIME.mul_f64(1.0 / share - 1.0);
        let is_over_in_thread = is_over.clone();
        let thread = spawn(move || {
            while !is_over_in_thread.load(Ordering::Relaxed) {
                send_signal(process, libc::SIGSTOP);
                sleep(pause);
                send_signal(process, libc::SIGCONT);
                sleep(RUN_TIME);
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread that throttles a process has panicked");
        }
    }
}

fn send_signal(process: i32, signal: i32) {
    // SAFETY: sending a signal to a child process, which has not been waited for, accesses no
    // memory.
    if unsafe { libc::kill(process, signal) } != 0 {
        log::error!(
            "cannot signal process {process}: {}",
            io::Error::last_os_error()
        );
    }
}
