//! The `key-digest` command.

use std::io::Read;

use sapphirespur_core::hash::sha256_hex;

use crate::error::CommandError;
use crate::exit::Exit;

/// Reads a bearer key from standard input and prints its SHA-256 digest in hexadecimal.
pub(super) fn run() -> Result<Exit, CommandError> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;

    println!("{}", sha256_hex(key.trim().as_bytes()));
    Ok(Exit::Success)
}
