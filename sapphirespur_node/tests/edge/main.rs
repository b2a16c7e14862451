//! Parts of the router daemon that need no network.

#![allow(missing_docs)]

mod events;
mod hop;
mod log;
mod settings;
