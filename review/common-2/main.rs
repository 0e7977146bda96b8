//! Stand-ins for the platform's store, servers and clients, and the cases that use them.
//!
//! `cases NAME RECORD` starts boxes with the command of the deploy file, plays a case on loopback
//! addresses and the real clock, writes what was sent, answered and run to RECORD, and exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out. Only the standard library is used.

mod budget;
mod denied;
mod fleet;
mod hot;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let log = record::Record::new();
    let outcome = match name.as_str() {
        "denied" => denied::play(&log, trouble),
        "hot" => hot::play(&log, trouble),
        "budget" => budget::play(&log, trouble),
        _ => Err(format!("there is no case {name}")),
    };
    let (code, verdict) = match outcome {
        Ok(record::Verdict::Held(text)) => (0, format!("the rule held: {text}")),
        Ok(record::Verdict::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Err(text) => (2, format!("the case could not run: {text}")),
    };
    log.note(&verdict);
    println!("{verdict}");
    if let Err(err) = log.write(Path::new(record)) {
        eprintln!("cannot write {record}: {err}");
    }
    std::process::exit(code);
}
