//! HTTP servers, request bodies, header names and error responses, shared by the router and sidecar
//! daemons.

mod body;
mod headers;
mod problem;
mod request_progress;
mod server;
mod unsent;
mod watched_stream;

pub use body::{BodyError, read_body};
pub use headers::{header, header_text};
pub use problem::problem_response;
pub(crate) use request_progress::RequestProgress;
pub use server::{json_response, start_server, text_response};
pub(crate) use unsent::limit_unsent;
pub(crate) use watched_stream::{MAX_UNSENT_REQUEST_BYTES, WatchedStream};
