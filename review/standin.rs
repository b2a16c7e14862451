//! Stand-ins for the review's scripts: the platform's metadata store, runners, clients, and the
//! start of the project's router with the command and the template of the deploy file.
//!
//! Only the standard library is used, so that `review/build.sh` needs nothing but `rustc`.

pub mod client;
pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod runner;
pub mod scene;
pub mod store;

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Runs a case in the folder that the command line names, and ends with its exit code.
pub fn main_of(run: fn(&Path) -> io::Result<i32>) {
    let Some(folder) = std::env::args_os().nth(1) else {
        println!("usage: CASE FOLDER");
        std::process::exit(NOT_RUN);
    };
    let code = run(Path::new(&folder)).unwrap_or_else(|e| {
        println!("the case could not run: {e}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// Returns whether the disruption of the case is on; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Polls until the condition holds; returns whether it did in time.
pub fn wait_until(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}
