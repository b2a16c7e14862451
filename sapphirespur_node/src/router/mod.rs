//! Router daemon: serves callers' requests as the router's state machine in core decides.

mod admin;
mod answer_sender;
mod attempt;
mod command;
mod control;
mod frame_reader;
mod model_list;
mod parse;
mod platform_sync;
mod serve;
mod traffic_handler;

pub use control::run;
