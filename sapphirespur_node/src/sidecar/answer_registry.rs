//! Registry of the attempts' answers, shared by the traffic threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sapphirespur_core::collections::HashMap;
use sapphirespur_core::request::AttemptId;

use crate::sidecar::answer_channel::AnswerChannel;

/// Answers by attempt; clones share the same map.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerRegistry {
    answers: Arc<Mutex<HashMap<AttemptId, Arc<AnswerChannel>>>>,
}

impl AnswerRegistry {
    /// Adds an attempt and returns its answer, or `None` when it was added before.
    pub fn insert(&self, attempt: AttemptId) -> Option<Arc<AnswerChannel>> {
        let mut answers = self.lock();
        if answers.contains_key(&attempt) {
            return None;
        }

        let answer = Arc::new(AnswerChannel::new());
        answers.insert(attempt, answer.clone());
        Some(answer)
    }

    /// Returns the answer of an attempt, or `None` when it was never added or is removed.
    pub fn get(&self, attempt: AttemptId) -> Option<Arc<AnswerChannel>> {
        self.lock().get(&attempt).cloned()
    }

    /// Removes the answer of an attempt.
    pub fn remove(&self, attempt: AttemptId) {
        self.lock().remove(&attempt);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AttemptId, Arc<AnswerChannel>>> {
        // The map stays valid when a thread panics while it holds the lock.
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
