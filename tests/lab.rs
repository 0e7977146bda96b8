//! The lab's own promises, on which the other tests rely.

mod common;

use gatepier::lab::fleet::free_address;
use googletest::prelude::*;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Threads that start processes, and addresses that are drawn meanwhile.
const STARTING_THREADS: usize = 4;
const ADDRESSES_TRIED: usize = 3000;

/// Where the system takes the ports of sockets that ask for none.
fn first_port_of_the_system() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    range.split_whitespace().next().unwrap().parse().unwrap()
}

cases! {
    address_given_out_cannot_be_taken_by_a_socket_that_asks_for_none => async {
        // Fails where ports of the system's own range are given out: a listener on all
        // addresses of another process then had an agent's port (a CI run beside a bench).
        let first = first_port_of_the_system();
        for _ in 0..64 {
            expect_that!(free_address().unwrap().port(), lt(first));
        }
    };

    address_given_out_can_be_listened_on_while_processes_are_started => async {
        // Fails where an address is tried by listening on it: a process that another thread
        // starts at that moment has the socket too, until it runs its own program, and beside
        // load that took longer than it took the new owner of the address to listen there.
        let is_done = Arc::new(AtomicBool::new(false));
        let starters: Vec<_> = (0..STARTING_THREADS)
            .map(|_| {
                let is_done = is_done.clone();
                std::thread::spawn(move || {
                    while !is_done.load(Ordering::Relaxed) {
                        let program = env!("CARGO_BIN_EXE_gatepier");
                        let started = Command::new(program).arg("--version").stdout(Stdio::null()).status();
                        assert!(started.is_ok_and(|status| status.success()));
                    }
                })
            })
            .collect();
        for _ in 0..ADDRESSES_TRIED {
            let address = free_address().unwrap();
            let listened = TcpListener::bind(address);
            expect_that!(listened.as_ref().err().map(ToString::to_string), none(), "{address}");
        }
        is_done.store(true, Ordering::Relaxed);
        for starter in starters {
            starter.join().unwrap();
        }
    };
}
