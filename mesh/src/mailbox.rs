//! A queue of steps from the reducer to the task of one request.

use std::{
    collections::VecDeque,
    task::{Context, Poll, Waker},
};

/// A queue of steps with a single reader.
///
/// Nearly every step is taken by the task whose event caused it, so this queue costs less than a channel, which
/// allocates several kilobytes per request.
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
    /// Appends a step and wakes the reader.
    pub fn push(&mut self, step: T) {
        self.steps.push_back(step);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Polls for the next step.
    pub fn poll(&mut self, cx: &Context<'_>) -> Poll<Option<T>> {
        if let Some(step) = self.steps.pop_front() {
            return Poll::Ready(Some(step));
        }
        self.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}
