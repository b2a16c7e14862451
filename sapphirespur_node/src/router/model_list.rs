//! List of the models, in the format of the OpenAI API.

use actix_http::body::BoxBody;
use actix_http::{RequestHead as HttpHead, Response};
use sapphirespur_core::request::{Refusal, RefusalCode};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::http::{json_response, problem_response};
use crate::router::command::Command;
use crate::router::parse::key_digest;

/// Entry of the model list.
#[derive(Debug, Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Body of a model list response.
#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

/// Handles a request for the model list; an unknown key is refused.
pub(super) async fn handle(
    commands: &UnboundedSender<Command>,
    head: &HttpHead,
    request_id: &str,
) -> Response<BoxBody> {
    let (reply, models) = oneshot::channel();
    // Fails only when the control thread has stopped, which happens at process exit.
    let _ = commands.send(Command::Models { key_digest: key_digest(head.headers()), reply });

    let Ok(Some(models)) = models.await else {
        return problem_response(&Refusal::rejected(RefusalCode::InvalidKey), request_id);
    };
    let item = |id| ModelItem { id, object: "model", owned_by: "sapphirespur" };
    json_response(&ModelList { object: "list", data: models.into_iter().map(item).collect() })
}
