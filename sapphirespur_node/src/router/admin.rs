//! HTTP endpoint for operators: the router's status.

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::http::{json_response, text_response};
use crate::router::command::Command;

/// Handles an operator's request: `/status` returns the router's status as JSON.
pub(super) async fn handle(commands: UnboundedSender<Command>, req: Request) -> Response<BoxBody> {
    if req.path() != "/status" {
        return text_response(StatusCode::NOT_FOUND, "unknown path\n");
    }

    let (reply, status) = oneshot::channel();
    // Fails only when the control thread has stopped, which happens at process exit.
    let _ = commands.send(Command::Status { reply });
    match status.await {
        Ok(status) => json_response(&status),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n"),
    }
}
