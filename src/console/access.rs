//! Who may use the operators' address, and which posts come from its own pages.

use std::{fmt::Write as _, net::IpAddr, sync::Arc, time::Duration};

use axum::{
    Form,
    extract::{FromRequest, Request, State},
    middleware::Next,
    response::{IntoResponse, Redirect, Response},
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header, uri::Authority};

use crate::{platform::Platform, time::Time};

use super::{Console, form::Fields};

/// The time after which an operator has to log in again: one working day.
const SESSION_TIME: Duration = Duration::from_secs(8 * 3_600);

/// The header by which browsers say where a request comes from.
const FETCH_SITE: &str = "sec-fetch-site";

/// The longest cookie header that is read, in bytes; ours has about 100.
const MAX_COOKIES: usize = 4_096;

/// Nothing but the pages' own style sheet and forms is allowed, so that injected markup does no harm.
const POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; \
                      frame-ancestors 'none'";

/// Decides who may use the operators' address.
pub(super) struct Access {
    /// Authenticates cookies and forms. It is drawn at each start, which ends all sessions.
    key: [u8; 32],
    token: Option<blake3::Hash>,
    /// The name of the cookie. It has the port, because cookies are shared between the ports of a host.
    name: String,
}

/// A browser that has been given a cookie.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct Session {
    nonce: u128,
    until: Time,
    is_operator: bool,
}

/// A form that was posted by a page of the same session.
pub(super) struct Posted(pub(super) Fields);

/// Why a request is refused.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Denial {
    Host,
    Token,
    CrossSite,
    Form,
}

impl Access {
    pub(super) fn new(token: Option<&str>, port: u16) -> Access {
        let key = rand::random();
        let token = token.map(|token| blake3::keyed_hash(&key, token.as_bytes()));
        Access { key, token, name: format!("poplarbarrow-{port}") }
    }

    pub(super) fn has_token(&self) -> bool {
        self.token.is_some()
    }

    /// Returns whether the text is the token, in constant time: hashes are compared so.
    pub(super) fn is_token(&self, text: &str) -> bool {
        self.token.is_some_and(|token| token == blake3::keyed_hash(&self.key, text.as_bytes()))
    }

    pub(super) fn open(&self, now: Time, is_operator: bool) -> Session {
        Session { nonce: rand::random(), until: now + SESSION_TIME, is_operator }
    }

    /// Returns the header that gives a browser its cookie.
    pub(super) fn cookie(&self, session: Session) -> HeaderValue {
        let Session { nonce, until, is_operator } = session;
        let (until, tag) = (until.as_micros(), self.tag("session", session));
        let value = format!("{}.{until:x}.{nonce:x}.{tag}", u8::from(is_operator));
        self.set_cookie(&value, SESSION_TIME)
    }

    /// Returns the header that takes the cookie away.
    pub(super) fn no_cookie(&self) -> HeaderValue {
        self.set_cookie("", Duration::ZERO)
    }

    /// Returns the token for the forms of a session.
    pub(super) fn form_token(&self, session: Session) -> String {
        self.tag("form", session).to_string()
    }

    fn set_cookie(&self, value: &str, age: Duration) -> HeaderValue {
        let (name, age) = (&self.name, age.as_secs());
        let text = format!("{name}={value}; Path=/; Max-Age={age}; HttpOnly; SameSite=Strict");
        HeaderValue::from_str(&text).expect("the cookie has visible ASCII characters only")
    }

    fn tag(&self, purpose: &str, session: Session) -> blake3::Hash {
        let mut text = String::new();
        let Session { nonce, until, is_operator } = session;
        let _ = write!(text, "{purpose} {is_operator} {} {nonce}", until.as_micros());
        blake3::keyed_hash(&self.key, text.as_bytes())
    }

    fn is_form(&self, session: Session, token: &str) -> bool {
        blake3::Hash::from_hex(token).is_ok_and(|tag| tag == self.tag("form", session))
    }

    /// Returns the session of a request, or `None` if its browser needs a cookie.
    fn session(&self, now: Time, headers: &HeaderMap) -> Option<Session> {
        let cookies = headers.get_all(header::COOKIE).iter().filter_map(|v| v.to_str().ok());
        let mut pairs =
            cookies.filter(|text| text.len() <= MAX_COOKIES).flat_map(|text| text.split("; "));
        let value = pairs.find_map(|pair| pair.strip_prefix(&self.name)?.strip_prefix('='))?;
        let mut parts = value.split('.');
        let is_operator = parts.next()? == "1";
        let until = Time::from_micros(u64::from_str_radix(parts.next()?, 16).ok()?);
        let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
        let tag = blake3::Hash::from_hex(parts.next()?).ok()?;
        let session = Session { nonce, until, is_operator };
        (tag == self.tag("session", session) && now < until).then_some(session)
    }

    /// Returns the session of a request, and whether it is new.
    fn admit(&self, now: Time, headers: &HeaderMap) -> Result<(Session, bool), Denial> {
        let known = self.session(now, headers);
        if let Some(value) = headers.get(header::AUTHORIZATION) {
            let token = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer "));
            if self.has_token() && !token.is_some_and(|token| self.is_token(token)) {
                return Err(Denial::Token);
            }
            return Ok(match known {
                Some(session) if session.is_operator => (session, false),
                _ => (self.open(now, true), true),
            });
        }
        Ok(known.map_or_else(|| (self.open(now, !self.has_token()), true), |s| (s, false)))
    }

    /// Refuses requests that another site made a browser send.
    fn check_site(&self, req: &Request) -> Result<(), Denial> {
        let headers = req.headers();
        let host = headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or(req.uri().authority().map(Authority::as_str)).unwrap_or_default();
        // Without a token, a name that an attacker resolves to a loopback address would open the pages to it.
        if !self.has_token() && !is_direct(host) {
            return Err(Denial::Host);
        }
        if matches!(*req.method(), Method::GET | Method::HEAD) {
            return Ok(());
        }
        let site = headers.get(FETCH_SITE);
        if site.is_some_and(|site| site != "same-origin" && site != "none") {
            return Err(Denial::CrossSite);
        }
        let Some(origin) = headers.get(header::ORIGIN) else { return Ok(()) };
        let origin = origin.to_str().unwrap_or_default();
        let origin = origin.strip_prefix("http://").or(origin.strip_prefix("https://"));
        if origin == Some(host) { Ok(()) } else { Err(Denial::CrossSite) }
    }
}

impl Session {
    pub(super) fn is_operator(self) -> bool {
        self.is_operator
    }
}

/// Returns whether a host is an address or `localhost`, which no other site can take over.
fn is_direct(host: &str) -> bool {
    let Ok(authority) = host.parse::<Authority>() else { return false };
    let name = authority.host();
    let address = name.trim_start_matches('[').trim_end_matches(']');
    name == "localhost" || address.parse::<IpAddr>().is_ok()
}

/// Checks each request before any page sees it.
pub(super) async fn guard<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    mut req: Request,
    next: Next,
) -> Response {
    let access = &console.access;
    let admitted =
        access.check_site(&req).and_then(|()| access.admit(console.driver.now(), req.headers()));
    let mut answer = match admitted {
        Err(denial) => {
            slog::warn!(console.driver.log(), "operator-denied"; "reason" => denial.reason());
            denial.into_response()
        }
        Ok((session, is_new)) => {
            let mut answer = if session.is_operator || is_open(req.uri().path()) {
                req.extensions_mut().insert(session);
                next.run(req).await
            } else if req.method() == Method::GET && req.uri().path() != "/status" {
                Redirect::to("/login").into_response()
            } else {
                Denial::Token.into_response()
            };
            let headers = answer.headers_mut();
            if is_new && !headers.contains_key(header::SET_COOKIE) {
                headers.insert(header::SET_COOKIE, access.cookie(session));
            }
            answer
        }
    };
    let fixed = [
        (header::CACHE_CONTROL, "no-store"),
        (header::CONTENT_SECURITY_POLICY, POLICY),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        // With a stricter policy, browsers would hide the origin of our own forms.
        (header::REFERRER_POLICY, "same-origin"),
    ];
    for (name, value) in fixed {
        answer.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    answer
}

/// Returns whether a path needs no login.
fn is_open(path: &str) -> bool {
    matches!(path, "/login" | "/style.css")
}

impl<P: Platform> FromRequest<Arc<Console<P>>> for Posted {
    type Rejection = Response;

    async fn from_request(req: Request, console: &Arc<Console<P>>) -> Result<Posted, Response> {
        let session = req.extensions().get::<Session>().copied();
        let form = Form::<Vec<(String, String)>>::from_request(req, console).await;
        let Form(pairs) = form.map_err(IntoResponse::into_response)?;
        let fields: Fields = pairs.into_iter().collect();
        let is_ours =
            session.is_some_and(|session| console.access.is_form(session, fields.get("form")));
        if !is_ours {
            slog::warn!(console.driver.log(), "operator-denied"; "reason" => "form");
            return Err(Denial::Form.into_response());
        }
        Ok(Posted(fields))
    }
}

impl Denial {
    fn reason(self) -> &'static str {
        match self {
            Denial::Host => "host",
            Denial::Token => "token",
            Denial::CrossSite => "cross-site",
            Denial::Form => "form",
        }
    }
}

impl IntoResponse for Denial {
    fn into_response(self) -> Response {
        let (status, text) = match self {
            Denial::Host => (
                StatusCode::FORBIDDEN,
                "without a token, use the IP address of the node or localhost",
            ),
            Denial::Token => (StatusCode::UNAUTHORIZED, "a valid token is needed"),
            Denial::CrossSite => (StatusCode::FORBIDDEN, "the form was sent by another site"),
            Denial::Form => (
                StatusCode::FORBIDDEN,
                "the form belongs to a session that has ended; go back, reload the page and send it again",
            ),
        };
        let mut answer = (status, format!("{text}\n")).into_response();
        if self == Denial::Token {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        answer
    }
}
