//! Digest of a bearer key.

use std::io::Read;

use sapphirespur_core::hash::sha256_hex;

use crate::error::CommandError;
use crate::exit::Exit;

/// Reads a key from standard input and prints its digest.
pub(super) fn run() -> Result<Exit, CommandError> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;

    println!("{}", sha256_hex(key.trim().as_bytes()));
    Ok(Exit::Success)
}
