//! The registration of a caller's request with the driver.

use std::{future::poll_fn, sync::Arc};

use axum::body::Body;
use bytes::Bytes;
use compact_str::CompactString;
use futures::{future::ready, stream};
use http::{Response, header};
use http_body::Body as _;
use http_body_util::BodyExt;

use crate::{
    body::{BodyEnd, IncompleteBody, Tracked},
    driver::Driver,
    effect::CallStep,
    event::{CallEvent, Event},
    identity::{Answer, MAX_ANSWER_BYTES},
    keys::CallKey,
};

/// A registered request of a caller; dropping the guard reports to the reducer that the caller disconnected.
pub(super) struct CallGuard {
    driver: Arc<Driver>,
    key: CallKey,
    is_open: bool,
}

impl CallGuard {
    pub(super) fn open(driver: &Arc<Driver>) -> Option<CallGuard> {
        let key = driver.open_call()?;
        Some(CallGuard { driver: driver.clone(), key, is_open: true })
    }

    pub(super) async fn next(&self) -> Option<CallStep> {
        poll_fn(|cx| self.driver.poll_call(self.key, cx)).await
    }

    pub(super) fn dispatch(&self, event: CallEvent) {
        self.driver.dispatch(Event::Call(self.key, event));
    }

    /// Buffers a small answer completely, so that the reducer can store it for repeats with the same identity.
    pub(super) async fn store_answer(&self, answer: Response<Body>) -> Response<Body> {
        let size = answer.body().size_hint().exact();
        if size.is_none_or(|size| size > MAX_ANSWER_BYTES as u64) {
            self.dispatch(CallEvent::AnswerRead(None));
            return answer;
        }
        let (parts, body) = answer.into_parts();
        let Ok(data) = body.collect().await else {
            self.dispatch(CallEvent::AnswerRead(None));
            return Response::from_parts(parts, incomplete_body());
        };
        let data = data.to_bytes();
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).map(CompactString::from);
        let stored =
            Answer { status: parts.status.as_u16(), content_type, body: data.to_vec().into() };
        self.dispatch(CallEvent::AnswerRead(Some(stored)));
        Response::from_parts(parts, Body::from(data))
    }

    /// Keeps the request registered until the body of the answer ends.
    pub(super) fn track(self, answer: Response<Body>) -> Response<Body> {
        answer.map(|body| Body::new(Tracked::new(body, move |end| self.close(end))))
    }

    fn close(mut self, end: BodyEnd) {
        self.is_open = false;
        self.driver.close_call(self.key, CallEvent::Ended(end));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.driver.close_call(self.key, CallEvent::Ended(BodyEnd::Dropped));
        }
    }
}

/// Returns a body that fails at once, so that the caller sees that the answer is incomplete.
fn incomplete_body() -> Body {
    Body::from_stream(stream::once(ready(Err::<Bytes, _>(IncompleteBody))))
}
