//! Bytes that the process holds for messages.

use std::cell::Cell;

use sapphirespur_core::edge::BufferAccount;

/// Messages whose bytes are counted together. Each kind has a limit of its own, so that neither keeps out
/// the other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BufferKind {
    /// Bodies of requests.
    Request,
    /// What was read of upstreams and is not written to a client yet.
    Response,
}

impl BufferKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Request, Self::Response];

    /// Returns a short name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// Accounts of the process, by kind.
#[derive(Debug)]
pub(super) struct Buffers {
    limit: Cell<usize>,
    requests: Cell<BufferAccount>,
    responses: Cell<BufferAccount>,
}

impl Buffers {
    /// Creates accounts of nothing, with a limit that each of them has, in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit: Cell::new(limit), requests: Cell::default(), responses: Cell::default() }
    }

    /// Changes the limit of each kind, in bytes.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the account of a kind.
    pub fn account(&self, kind: BufferKind) -> BufferAccount {
        self.cell(kind).get()
    }

    /// Counts `bytes` more for a message that holds `own` so far, if that is allowed; returns `false` without
    /// counting them otherwise.
    pub fn try_grow(&self, kind: BufferKind, own: usize, bytes: usize) -> bool {
        let mut account = self.account(kind);
        let limit = self.limit.get();
        let is_allowed = match kind {
            BufferKind::Request => account.try_hold(limit, bytes),
            BufferKind::Response => account.try_grow(limit, own, bytes),
        };
        self.cell(kind).set(account);
        is_allowed
    }

    /// Counts `bytes` more that are held already.
    pub fn hold(&self, kind: BufferKind, bytes: usize) {
        let mut account = self.account(kind);
        account.hold(bytes);
        self.cell(kind).set(account);
    }

    /// Counts `bytes` less.
    pub fn release(&self, kind: BufferKind, bytes: usize) {
        let mut account = self.account(kind);
        account.release(bytes);
        self.cell(kind).set(account);
    }

    fn cell(&self, kind: BufferKind) -> &Cell<BufferAccount> {
        match kind {
            BufferKind::Request => &self.requests,
            BufferKind::Response => &self.responses,
        }
    }
}
