//! Pages that list the services and their versions.

use std::sync::Arc;

use askama::Template;
use axum::{
    Extension,
    extract::{Query, State},
    response::Response,
};
use http::StatusCode;
use serde::Deserialize;

use crate::{document::Service, platform::Platform};

use super::{Console, Frame, access::Session, html, utc};

/// Maximum number of entries on a page. Operators narrow longer lists with the search.
const MAX_ENTRIES: usize = 200;

/// Query string of the search form.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct SearchQuery {
    q: String,
}

#[derive(Template)]
#[template(path = "services.html")]
struct Services {
    frame: Frame,
    search: String,
    total: usize,
    hidden: usize,
    entries: Vec<(String, Service)>,
}

#[derive(Template)]
#[template(path = "versions.html")]
struct Versions {
    frame: Frame,
    search: String,
    total: usize,
    hidden: usize,
    entries: Vec<ScheduledVersion>,
}

struct ScheduledVersion {
    service: String,
    version: String,
    start: String,
    end: String,
}

pub(super) async fn services<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    Query(search): Query<SearchQuery>,
) -> Response {
    let (_, document) = console.document();
    let search = search.q.trim().to_owned();
    let found: Vec<_> =
        document.services.iter().filter(|(name, _)| name.contains(&search)).collect();
    let shown = found.iter().take(MAX_ENTRIES);
    let page = Services {
        frame: console.frame(session, "Services"),
        total: found.len(),
        hidden: found.len().saturating_sub(MAX_ENTRIES),
        entries: shown.map(|(name, s)| (name.to_string(), (*s).clone())).collect(),
        search,
    };
    html(StatusCode::OK, &page)
}

pub(super) async fn versions<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    Query(search): Query<SearchQuery>,
) -> Response {
    let (_, document) = console.document();
    let search = search.q.trim().to_owned();
    let time = |ms| if ms == 0 { "always".into() } else { format!("{}Z", utc::format(ms)) };
    let found = document.services.iter().filter(|(name, _)| name.contains(&search));
    let matching =
        found.flat_map(|(name, service)| service.versions.iter().map(move |v| (name, v)));
    let total = matching.clone().count();
    let entry = |(name, version): (&compact_str::CompactString, &crate::document::Version)| {
        ScheduledVersion {
            service: name.to_string(),
            version: version.name.to_string(),
            start: time(version.start_ms),
            end: time(version.end_ms),
        }
    };
    let page = Versions {
        frame: console.frame(session, "Versions"),
        total,
        hidden: total.saturating_sub(MAX_ENTRIES),
        entries: matching.take(MAX_ENTRIES).map(entry).collect(),
        search,
    };
    html(StatusCode::OK, &page)
}
