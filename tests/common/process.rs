//! One process of the system under test.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// One process of the system.
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

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let id = i32::try_from(self.child.id()).unwrap();
        // SAFETY: The call has no memory effects, and the child is not reaped yet, so the
        // id is its own.
        unsafe { libc::kill(id, signal) };
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process.
    pub fn suspend(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns the memory in kilobytes that the process holds.
    pub fn resident_kilobytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Returns the processor time in seconds that the process has used so far.
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_A_SECOND: f64 = 100.0;
        const USER_TIME: usize = 11;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |position: usize| fields[position].parse::<f64>().unwrap();
        (ticks(USER_TIME) + ticks(USER_TIME + 1)) / TICKS_A_SECOND
    }

    /// Tells whether the process has ended, and whether in success.
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
