//! The steps of a request on their way from the reducer to its task.

use std::{
    collections::VecDeque,
    task::{Context, Poll, Waker},
};

/// The steps of one request that its task has not taken.
///
/// Nearly every step is taken by the task whose event caused it, so that the queue costs less than a channel,
/// which allocates several kilobytes for each request.
pub struct Mailbox<T> {
    steps: VecDeque<T>,
    reader: Option<Waker>,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Mailbox<T> {
        Mailbox { steps: VecDeque::new(), reader: None }
    }
}

impl<T> Mailbox<T> {
    /// Adds a step and wakes the task up.
    pub fn push(&mut self, step: T) {
        self.steps.push_back(step);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Takes the next step.
    pub fn poll(&mut self, cx: &Context<'_>) -> Poll<Option<T>> {
        if let Some(step) = self.steps.pop_front() {
            return Poll::Ready(Some(step));
        }
        self.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}
