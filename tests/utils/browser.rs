//! A browser without scripts for tests: it keeps a cookie and sends the fields of forms as they are shown.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use axum::body::Body;
use http::{Request, header, request::Builder};

use super::client::{self, Answer};

/// The fields of a form.
pub(crate) type Fields = BTreeMap<String, String>;

/// A browser with at most one cookie.
pub(crate) struct Browser {
    pub(crate) addr: SocketAddr,
    pub(crate) cookie: String,
}

impl Browser {
    pub(crate) fn new(addr: SocketAddr) -> Browser {
        Browser { addr, cookie: String::new() }
    }

    pub(crate) async fn get(&mut self, path: &str) -> (u16, String) {
        self.send(Request::get(path), Body::empty()).await
    }

    pub(crate) async fn post(&mut self, path: &str, fields: &Fields) -> (u16, String) {
        let origin = format!("http://{}", self.addr);
        let req = Request::post(path)
            .header(header::ORIGIN, origin)
            .header("sec-fetch-site", "same-origin");
        self.send(req, Body::from(encode(fields))).await
    }

    /// Opens a page, fills in some fields of its form and sends it.
    pub(crate) async fn fill(&mut self, path: &str, changes: &[(&str, &str)]) -> (u16, String) {
        let (status, page) = self.get(path).await;
        assert_eq!(status, 200, "{page}");
        let mut fields = fields(&page, path);
        fields.extend(changes.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())));
        self.post(path, &fields).await
    }

    pub(crate) async fn send(&mut self, req: Builder, body: Body) -> (u16, String) {
        let answer = self.answer(req, body).await;
        let cookie = answer.header("set-cookie").split(';').next().unwrap_or_default();
        if !cookie.is_empty() {
            self.cookie = cookie.into();
        }
        (answer.status, String::from_utf8(answer.body.unwrap_or_default()).expect("text"))
    }

    pub(crate) async fn answer(&mut self, req: Builder, body: Body) -> Answer {
        let req = req
            .header(header::COOKIE, &self.cookie)
            .header(header::CONTENT_TYPE, "application/x-www-form-urlencoded");
        client::send(self.addr, "", req.body(body).expect("a request")).await.expect("an answer")
    }
}

/// Returns the fields of the form of a page that is sent to `action`.
pub(crate) fn fields(page: &str, action: &str) -> Fields {
    let start = page.find(&format!("action=\"{action}\"")).unwrap_or_else(|| panic!("{page}"));
    let form = &page[start..start + page[start..].find("</form>").expect("an end")];
    let mut fields = Fields::new();
    let mut select = String::new();
    for tag in form.split('<').filter_map(|text| text.split_once('>')).map(|(tag, _)| tag) {
        let value = attribute(tag, "value").unwrap_or_default();
        let name = attribute(tag, "name").unwrap_or_default();
        if tag.starts_with("select ") {
            select = name;
        } else if tag.starts_with("option ") && tag.ends_with(" selected") {
            fields.insert(select.clone(), value);
        } else if tag.starts_with("input ")
            && (!tag.contains("type=\"checkbox\"") || tag.contains(" checked"))
        {
            fields.insert(name, value);
        }
    }
    fields
}

/// Returns the message beside a field of a page.
pub(crate) fn error(page: &str, field: &str) -> Option<String> {
    let (_, rest) = page.split_once(&format!("id=\"{field}-error\">"))?;
    let described = page.contains(&format!("{field}-error\""));
    assert!(described && page.contains("aria-invalid"), "the field does not refer to its error");
    Some(unescape(rest.split_once("</p>")?.0))
}

/// Replaces the references by which markup is escaped.
pub(crate) fn unescape(text: &str) -> String {
    let pairs = [("&#34;", "\""), ("&#39;", "'"), ("&#60;", "<"), ("&#62;", ">"), ("&#38;", "&")];
    pairs.iter().fold(text.to_owned(), |text, (from, to)| text.replace(from, to))
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let (_, rest) = tag.split_once(&format!(" {name}=\""))?;
    Some(unescape(rest.split_once('"')?.0))
}

/// Encodes fields as a form.
pub(crate) fn encode(fields: &Fields) -> String {
    let mut text = String::new();
    for (name, value) in fields {
        for (part, end) in [(name, '='), (value, '&')] {
            for byte in part.bytes() {
                write!(text, "%{byte:02x}").expect("a string");
            }
            text.push(end);
        }
    }
    text
}
