//! A process of the system under test.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A router or agent process; killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    pub(super) fn start(binary: &str, settings: &PathBuf, log: &PathBuf) -> Self {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(binary)
            .arg(settings)
            .env("GATEPIER_LOG", "warn,gatepier=info,gatepier::agent=debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Returns the process id.
    pub fn id(&self) -> i32 {
        i32::try_from(self.child.id()).unwrap()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let id = self.id();
        // SAFETY: The call has no memory effects, and the child has not been reaped, so its
        // process id has not been reused.
        unsafe { libc::kill(id, signal) };
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process (`SIGSTOP`).
    pub fn suspend(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process (`SIGCONT`).
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns the resident set size in kilobytes.
    pub fn resident_kilobytes(&self) -> u64 {
        self.kilobytes("VmRSS:")
    }

    /// Returns the largest resident set size so far in kilobytes.
    pub fn peak_kilobytes(&self) -> u64 {
        self.kilobytes("VmHWM:")
    }

    fn kilobytes(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns the number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    /// Returns the CPU time in seconds, user and system, used so far.
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        const USER_TIME_FIELD: usize = 11;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |position: usize| fields[position].parse::<f64>().unwrap();
        (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_SECOND
    }

    /// Returns whether the process exited with success, or nothing while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
