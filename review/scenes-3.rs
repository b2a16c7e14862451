//! Scenes of the review's scripts: `scenes NAME ROOT FOLDER`.

#[path = "drain-3.rs"]
mod drain;
#[path = "memory-3.rs"]
mod memory;
#[path = "platform-3.rs"]
mod platform;
#[path = "refusal-3.rs"]
mod refusal;
#[path = "restored-3.rs"]
mod restored;
#[path = "route-3.rs"]
mod route;
#[path = "twice-3.rs"]
mod twice;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = args.as_slice() else {
        eprintln!("scenes NAME ROOT FOLDER");
        exit(platform::COULD_NOT_RUN);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let scene = match name.as_str() {
        "drain-key-of-runner" => drain::run,
        "memory" => memory::run,
        "refusal" => refusal::run,
        "drain-restored-store" => restored::run,
        "route-odd-key" => route::run_odd_key,
        "route-key-of-runner" => route::run_key_of_runner,
        "twice" => twice::run,
        _ => {
            eprintln!("no scene of this name");
            exit(platform::COULD_NOT_RUN);
        }
    };
    match scene(&root, &folder) {
        Ok(code) => exit(code),
        Err(e) => {
            eprintln!("could not run: {e}");
            exit(platform::COULD_NOT_RUN);
        }
    }
}
