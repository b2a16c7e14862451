//! Router daemon: callers' traffic around the router's decisions.

mod admin;
mod attempt;
mod caller;
mod command;
mod control;
mod frames;
mod listing;
mod parse;
mod platform;
mod serve;
mod traffic;

pub use control::run;
