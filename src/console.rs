//! Web console that a node serves to operators: status pages, and forms that edit the configuration document.
//!
//! Every change goes through [`store::commit`], which validates the whole document. The console has no other way
//! to change the configuration.
//! `docs/console.md` describes the pages.

mod access;
mod change;
mod edit;
mod form;
mod forms;
mod lists;
mod merge;
mod utc;

use std::{convert::Infallible, sync::Arc};

use askama::Template;
use axum::{
    Extension, Json, Router,
    body::Body,
    extract::{DefaultBodyLimit, State},
    middleware,
    response::{IntoResponse, Redirect, Response},
    routing::{get, post},
};
use http::{Request, StatusCode, header};
use tower::ServiceExt;

use crate::{
    addresses::Addresses,
    config::Replica,
    document::Document,
    driver::Driver,
    platform::Platform,
    status::Status,
    store::{self, StoreError},
};

use self::{
    access::{AccessControl, PostedForm, Session, check_access},
    forms::Page,
};

/// Maximum size of a posted form. A service with 64 routes of 256 bytes takes about 60 KB when it is URL-encoded.
const MAX_FORM_BYTES: usize = 256 << 10;

const STYLE_SHEET: &str = include_str!("../templates/style.css");

/// State shared by the request handlers of a node's console.
pub(crate) struct Console<P> {
    driver: Arc<Driver>,
    platform: Arc<P>,
    replica: Replica,
    addresses: Addresses,
    access: AccessControl,
}

/// Values that the base template needs on every page.
struct Frame {
    title: String,
    /// Token against cross-site request forgery, sent with every form of the session.
    form: String,
    /// Revision of the document that this node uses.
    revision: u64,
    /// Whether a token is configured, so that operators log in and can log out.
    has_login: bool,
    is_operator: bool,
}

#[derive(Template)]
#[template(path = "overview.html")]
struct Overview {
    frame: Frame,
    status: Status,
}

#[derive(Template)]
#[template(path = "login.html")]
struct Login {
    frame: Frame,
    error: &'static str,
}

impl<P: Platform> Console<P> {
    pub(crate) fn new(
        driver: Arc<Driver>,
        platform: Arc<P>,
        replica: Replica,
        addresses: Addresses,
        token: Option<&str>,
    ) -> Console<P> {
        let access = AccessControl::new(token, addresses.operator.port());
        Console { driver, platform, replica, addresses, access }
    }

    /// Returns the router of all pages, with access control applied to each route.
    pub(crate) fn router(self) -> Router {
        let state = Arc::new(self);
        let page = get(change::show::<P>).post(change::submit::<P>);
        Router::new()
            .route("/", get(overview::<P>))
            .route("/status", get(status::<P>))
            .route("/style.css", get(style))
            .route("/login", get(login::<P>).post(log_in::<P>))
            .route("/logout", post(log_out::<P>))
            .route("/services", get(lists::services::<P>))
            .route("/versions", get(lists::versions::<P>))
            .route("/services/{name}", page.clone())
            .route("/new-service", page.clone())
            .route("/versions/{name}", page.clone())
            .route("/centres", page.clone())
            .route("/budgets", page)
            .route("/edit", post(change::reopen::<P>))
            .route("/commit", post(change::commit::<P>))
            .layer(DefaultBodyLimit::max(MAX_FORM_BYTES))
            .layer(middleware::from_fn_with_state(state.clone(), check_access::<P>))
            .with_state(state)
    }

    fn frame(&self, session: Session, title: impl Into<String>) -> Frame {
        Frame {
            title: title.into(),
            form: self.access.form_token(session),
            revision: self.driver.inspect(|reducer| reducer.revision()),
            has_login: self.access.has_token(),
            is_operator: session.is_operator(),
        }
    }

    /// Returns the document that this node uses and its revision; the document is empty at revision 0.
    fn document(&self) -> (u64, Arc<Document>) {
        self.driver.inspect(|reducer| reducer.document()).unwrap_or_default()
    }

    /// Returns the document at a revision, or `None` if the platform no longer stores that revision.
    ///
    /// Uses the node's own copy if its index equals the one in the platform, which saves reading all parts.
    async fn document_at(&self, revision: u64) -> Result<Option<Arc<Document>>, StoreError> {
        let index = store::read_index(&*self.platform).await?.map(|(index, _)| index);
        let Some(index) = index else {
            return Ok((revision == 0).then(Arc::default));
        };
        if revision == 0 {
            return Ok(Some(Arc::default()));
        }
        if index.revision != revision {
            return Ok(store::load_past(&*self.platform, revision).await?.map(Arc::new));
        }
        let (local_revision, document) = self.document();
        if local_revision == revision
            && self.replica.get().is_some_and(|snapshot| snapshot.index == index)
        {
            return Ok(Some(document));
        }
        let loaded = store::load(&*self.platform).await?;
        Ok(loaded.filter(|(index, _)| index.revision == revision).map(|(_, d)| Arc::new(d)))
    }

    fn status(&self) -> Status {
        let now = self.driver.now();
        let status = self.driver.inspect(|reducer| reducer.status(now, self.addresses));
        Status { times: self.driver.metrics().stage_times(), ..status }
    }
}

/// Handles one HTTP request to the console.
pub(crate) async fn handle_request(pages: Router, req: Request<Body>) -> Response {
    pages.oneshot(req).await.unwrap_or_else(|never: Infallible| match never {})
}

/// Renders a page as an HTML response.
fn html(status: StatusCode, page: &impl Template) -> Response {
    let content_type = [(header::CONTENT_TYPE, "text/html; charset=utf-8")];
    match page.render() {
        Ok(text) => (status, content_type, text).into_response(),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, "the page cannot be shown").into_response(),
    }
}

async fn style() -> Response {
    ([(header::CONTENT_TYPE, "text/css; charset=utf-8")], STYLE_SHEET).into_response()
}

async fn status<P: Platform>(State(console): State<Arc<Console<P>>>) -> Json<Status> {
    Json(console.status())
}

async fn overview<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
) -> Response {
    let page = Overview { frame: console.frame(session, "Overview"), status: console.status() };
    html(StatusCode::OK, &page)
}

async fn login<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
) -> Response {
    if session.is_operator() {
        return Redirect::to("/").into_response();
    }
    html(StatusCode::OK, &Login { frame: console.frame(session, "Log in"), error: "" })
}

async fn log_in<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    PostedForm(fields): PostedForm,
) -> Response {
    if !console.access.is_valid_token(fields.get("token")) {
        slog::warn!(console.driver.log(), "operator-denied"; "reason" => "token");
        let error = "This is not the token in the settings of the node.";
        let page = Login { frame: console.frame(session, "Log in"), error };
        return html(StatusCode::UNAUTHORIZED, &page);
    }
    let session = console.access.new_session(console.driver.now(), true);
    let cookie = [(header::SET_COOKIE, console.access.cookie(session))];
    (cookie, Redirect::to("/")).into_response()
}

async fn log_out<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    PostedForm(_): PostedForm,
) -> Response {
    let cookie = [(header::SET_COOKIE, console.access.expired_cookie())];
    (cookie, Redirect::to("/login")).into_response()
}
