//! Stand-ins for the cases 6 to 10 of the review: servers, proxies that follow the files of `craneknot agent`, the
//! writer of the list of servers, and a relay that delays what coordinators send. Only the standard library is used.
//! Usage: standin CASE FOLDER RECORD; the environment variable TROUBLE=0 leaves the disruption out.
//! It exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod fleet;
mod json;
mod platform;
mod proxy;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 4 {
        eprintln!("usage: standin CASE FOLDER RECORD");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&args[1], args[2].as_ref(), args[3].as_ref(), trouble) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            exit(2);
        }
    }
}
