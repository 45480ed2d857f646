//! `ebonygauge digest`.

use std::io;

use crate::cmd;

/// Reads a key from standard input and prints its digest.
pub fn run() -> cmd::Outcome {
    let mut key = String::new();
    let _ = io::stdin().read_line(&mut key);
    let digest: String =
        config::KeyDigest::of(key.trim_end_matches(['\r', '\n']).as_bytes()).into();
    println!("{digest}");
    Ok(())
}
