//! HTTP plumbing shared by the daemons.

mod body;
mod headers;
mod problem;
mod server;

pub use body::{BodyError, read_body};
pub use headers::{header_text, wire};
pub use problem::problem;
pub use server::{respond, respond_json, start};
