//! Identity of a request, computed when it is needed.

use std::cell::OnceCell;

use bytes::Bytes;
use hyper::http::request::Parts;
use sapphirespur_core::edge::{CallInfo, RequestIdentity};
use sapphirespur_core::name::Name;

/// Identity of a request with what it is computed from: hashing each body would cost time that is
/// rarely worth it.
pub(super) struct LazyIdentity {
    service: Name,
    workspace: Option<Name>,
    method: String,
    target: String,
    body: Bytes,
    value: OnceCell<RequestIdentity>,
}

impl LazyIdentity {
    /// Takes what identifies a request.
    pub fn new(parts: &Parts, info: &CallInfo, body: &Bytes) -> Self {
        Self {
            service: info.service.clone(),
            workspace: info.workspace.clone(),
            method: parts.method.as_str().to_owned(),
            target: parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned(),
            body: body.clone(),
            value: OnceCell::new(),
        }
    }

    /// Returns the identity.
    pub fn get(&self) -> RequestIdentity {
        let compute = || {
            RequestIdentity::new(
                &self.service,
                self.workspace.as_ref(),
                &self.method,
                &self.target,
                &self.body,
            )
        };
        *self.value.get_or_init(compute)
    }
}
