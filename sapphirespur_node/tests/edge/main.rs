//! Tests of those parts of the edge router daemon that need no network.

#![allow(missing_docs)]

mod event_buffer;
mod hop_headers;
mod log;
mod settings;
