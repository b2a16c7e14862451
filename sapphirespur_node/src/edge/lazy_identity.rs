//! Identity of a request, computed when it is needed.

use std::cell::OnceCell;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use sapphirespur_core::edge::{CallInfo, RequestIdentity};
use sapphirespur_core::name::Name;

/// Identity of a request with what it is computed from: hashing each body would cost time that is
/// rarely worth it.
pub(super) struct LazyIdentity {
    service: Name,
    workspace: Option<Name>,
    method: Method,
    uri: Uri,
    body: Bytes,
    value: OnceCell<RequestIdentity>,
}

impl LazyIdentity {
    /// Takes what identifies a request.
    pub fn new(parts: &Parts, info: &CallInfo, body: &Bytes) -> Self {
        Self {
            service: info.service.clone(),
            workspace: info.workspace.clone(),
            method: parts.method.clone(),
            uri: parts.uri.clone(),
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
                self.method.as_str(),
                self.uri.path_and_query().map_or("/", |target| target.as_str()),
                &self.body,
            )
        };
        *self.value.get_or_init(compute)
    }
}
