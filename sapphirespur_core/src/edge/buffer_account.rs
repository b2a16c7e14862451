//! Account of the bytes that a process holds for messages.

/// Bytes that are held for messages of one direction, below a limit that they share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BufferAccount {
    held: usize,
    highest: usize,
}

impl BufferAccount {
    /// Largest ratio of what one message holds to what stays free. A message alone may hold two thirds of
    /// the limit.
    pub const FREE_MULTIPLE: usize = 2;

    /// Holds `bytes` more. Returns whether the limit allows it; otherwise nothing changes.
    pub fn try_hold(&mut self, limit: usize, bytes: usize) -> bool {
        let is_allowed = self.free_with(limit, bytes).is_some();
        if is_allowed {
            self.hold(bytes);
        }
        is_allowed
    }

    /// Holds `bytes` more for a message that holds `own` so far, if that leaves room for others: a message may
    /// hold at most [`Self::FREE_MULTIPLE`] times what stays free. Returns whether it may; otherwise nothing
    /// changes.
    ///
    /// Messages without end so stop one another before the limit, the largest first: `n` of them leave a part
    /// of `1 / (1 + 2 n)` for others.
    pub fn try_grow(&mut self, limit: usize, own: usize, bytes: usize) -> bool {
        let most = |free: usize| free.saturating_mul(Self::FREE_MULTIPLE);
        let is_allowed = self
            .free_with(limit, bytes)
            .is_some_and(|free| own.saturating_add(bytes) <= most(free));
        if is_allowed {
            self.hold(bytes);
        }
        is_allowed
    }

    /// Holds `bytes` more, whatever the limit is.
    pub fn hold(&mut self, bytes: usize) {
        self.held = self.held.saturating_add(bytes);
        self.highest = self.highest.max(self.held);
    }

    /// Releases bytes that were held.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns the bytes that stay free when `bytes` more are held; none when they exceed the limit.
    fn free_with(&self, limit: usize, bytes: usize) -> Option<usize> {
        limit.checked_sub(self.held.saturating_add(bytes))
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the most bytes that were ever held.
    pub fn highest(&self) -> usize {
        self.highest
    }
}
