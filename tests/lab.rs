//! The lab's `free_address`, on which the other tests rely.

mod common;

use gatepier::lab::fleet::free_address;
use googletest::prelude::*;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The number of threads that start processes all the time.
const SPAWNING_THREADS: usize = 4;
/// The number of addresses requested meanwhile.
const REQUESTED_ADDRESSES: usize = 3000;

/// Returns the lowest port that the system assigns to sockets that request none.
fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    range.split_whitespace().next().unwrap().parse().unwrap()
}

cases! {
    free_address_is_below_the_ephemeral_port_range => async {
        // Guards against ports from the ephemeral range, which the system may assign to another
        // process: in CI, beside another test bench, a process that listened on all addresses had
        // got an agent's port.
        let first = first_ephemeral_port();
        for _ in 0..64 {
            expect_that!(free_address().unwrap().port(), lt(first));
        }
    };

    free_address_can_be_bound_while_processes_are_started => async {
        // Guards against probing an address by listening on it: a process that another thread
        // forks at that moment inherits the socket until it executes its program. Under load
        // that took longer than the new owner of the address took to bind it.
        let is_done = Arc::new(AtomicBool::new(false));
        let spawners: Vec<_> = (0..SPAWNING_THREADS)
            .map(|_| {
                let is_done = is_done.clone();
                std::thread::spawn(move || {
                    while !is_done.load(Ordering::Relaxed) {
                        let program = env!("CARGO_BIN_EXE_gatepier");
                        let result = Command::new(program).arg("--version").stdout(Stdio::null()).status();
                        assert!(result.is_ok_and(|status| status.success()));
                    }
                })
            })
            .collect();
        for _ in 0..REQUESTED_ADDRESSES {
            let address = free_address().unwrap();
            let bound = TcpListener::bind(address);
            expect_that!(bound.as_ref().err().map(ToString::to_string), none(), "{address}");
        }
        is_done.store(true, Ordering::Relaxed);
        for spawner in spawners {
            spawner.join().unwrap();
        }
    };
}
