//! Router daemon: callers' traffic around the router's decisions.

mod admin;
mod answer_sender;
mod attempt;
mod command;
mod control;
mod frame_reader;
mod model_list;
mod parse;
mod platform;
mod serve;
mod traffic_handler;

pub use control::run;
