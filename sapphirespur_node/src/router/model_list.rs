//! List of the models, in the form of the OpenAI interface.

use actix_http::body::BoxBody;
use actix_http::{RequestHead as HttpHead, Response};
use sapphirespur_core::request::{Refusal, RefusalCode};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::http::{json_response, problem_response};
use crate::router::command::Command;
use crate::router::parse::key_digest;

/// Model in the list.
#[derive(Debug, Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// List of models.
#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

/// Answers a request for the models.
pub(super) async fn handle(
    commands: &UnboundedSender<Command>,
    head: &HttpHead,
    request_id: &str,
) -> Response<BoxBody> {
    let (reply, models) = oneshot::channel();
    // The control thread ends only with the process.
    let _ = commands.send(Command::Models { key_digest: key_digest(head.headers()), reply });

    let Ok(Some(models)) = models.await else {
        return problem_response(&Refusal::rejected(RefusalCode::InvalidKey), request_id);
    };
    let item = |id| ModelItem { id, object: "model", owned_by: "sapphirespur" };
    json_response(&ModelList { object: "list", data: models.into_iter().map(item).collect() })
}
