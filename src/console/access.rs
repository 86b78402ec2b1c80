//! Access control of the console: login, sessions, and protection against cross-site request forgery.

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

/// Lifetime of a session: one working day.
const SESSION_LIFETIME: Duration = Duration::from_secs(8 * 3_600);

/// Header in which browsers tell the relation between the site that made the request and the one that serves it.
const SEC_FETCH_SITE: &str = "sec-fetch-site";

/// Maximum size of a `Cookie` header that is parsed. The console's own cookie takes about 100 bytes.
const MAX_COOKIE_BYTES: usize = 4_096;

/// Content security policy of all pages. Only the console's own style sheet and forms are allowed, so that injected
/// markup cannot run scripts, load other resources or send forms elsewhere.
const CSP_VALUE: &str = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; \
                         frame-ancestors 'none'";

/// Authenticates operators and checks where requests come from.
pub(super) struct AccessControl {
    /// Key for the authentication tags of cookies and form tokens. It is random for each start of the process, so a
    /// restart ends all sessions.
    key: [u8; 32],
    token: Option<blake3::Hash>,
    /// Contains the port, because browsers share cookies between the ports of a host.
    cookie_name: String,
}

/// Session of a browser, as stored in its signed cookie.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct Session {
    nonce: u128,
    expires_at: Time,
    is_operator: bool,
}

/// Extractor of the fields of a posted form whose token belongs to the request's session.
pub(super) struct PostedForm(pub(super) Fields);

/// Reason why a request is denied.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Denial {
    Host,
    Token,
    CrossSite,
    Form,
}

impl AccessControl {
    pub(super) fn new(token: Option<&str>, port: u16) -> AccessControl {
        let key = rand::random();
        let token = token.map(|token| blake3::keyed_hash(&key, token.as_bytes()));
        AccessControl { key, token, cookie_name: format!("poplarbarrow-{port}") }
    }

    pub(super) fn has_token(&self) -> bool {
        self.token.is_some()
    }

    /// Returns whether the text is the configured token. `blake3::Hash` compares in constant time.
    pub(super) fn is_valid_token(&self, text: &str) -> bool {
        self.token.is_some_and(|token| token == blake3::keyed_hash(&self.key, text.as_bytes()))
    }

    pub(super) fn new_session(&self, now: Time, is_operator: bool) -> Session {
        Session { nonce: rand::random(), expires_at: now + SESSION_LIFETIME, is_operator }
    }

    /// Returns the `Set-Cookie` value that stores a session.
    pub(super) fn cookie(&self, session: Session) -> HeaderValue {
        let Session { nonce, expires_at, is_operator } = session;
        let (expires_at, tag) = (expires_at.as_micros(), self.tag("session", session));
        let value = format!("{}.{expires_at:x}.{nonce:x}.{tag}", u8::from(is_operator));
        self.set_cookie(&value, SESSION_LIFETIME)
    }

    /// Returns the `Set-Cookie` value that deletes the session cookie.
    pub(super) fn expired_cookie(&self) -> HeaderValue {
        self.set_cookie("", Duration::ZERO)
    }

    /// Returns the token for the forms of a session.
    pub(super) fn form_token(&self, session: Session) -> String {
        self.tag("form", session).to_string()
    }

    fn set_cookie(&self, value: &str, age: Duration) -> HeaderValue {
        let (name, age) = (&self.cookie_name, age.as_secs());
        let text = format!("{name}={value}; Path=/; Max-Age={age}; HttpOnly; SameSite=Strict");
        HeaderValue::from_str(&text).expect("the cookie has visible ASCII characters only")
    }

    fn tag(&self, purpose: &str, session: Session) -> blake3::Hash {
        let mut text = String::new();
        let Session { nonce, expires_at, is_operator } = session;
        let _ = write!(text, "{purpose} {is_operator} {} {nonce}", expires_at.as_micros());
        blake3::keyed_hash(&self.key, text.as_bytes())
    }

    fn is_valid_form_token(&self, session: Session, token: &str) -> bool {
        blake3::Hash::from_hex(token).is_ok_and(|tag| tag == self.tag("form", session))
    }

    /// Returns the session in the request's cookie, or `None` if there is no valid one.
    fn session(&self, now: Time, headers: &HeaderMap) -> Option<Session> {
        let cookies = headers.get_all(header::COOKIE).iter().filter_map(|v| v.to_str().ok());
        let mut pairs =
            cookies.filter(|text| text.len() <= MAX_COOKIE_BYTES).flat_map(|text| text.split("; "));
        let value =
            pairs.find_map(|pair| pair.strip_prefix(&self.cookie_name)?.strip_prefix('='))?;
        let mut parts = value.split('.');
        let is_operator = parts.next()? == "1";
        let expires_at = Time::from_micros(u64::from_str_radix(parts.next()?, 16).ok()?);
        let nonce = u128::from_str_radix(parts.next()?, 16).ok()?;
        let tag = blake3::Hash::from_hex(parts.next()?).ok()?;
        let session = Session { nonce, expires_at, is_operator };
        (tag == self.tag("session", session) && now < expires_at).then_some(session)
    }

    /// Returns the session of a request, and whether it is new. A new session needs a `Set-Cookie` header.
    fn authenticate(&self, now: Time, headers: &HeaderMap) -> Result<(Session, bool), Denial> {
        let known = self.session(now, headers);
        if let Some(value) = headers.get(header::AUTHORIZATION) {
            let token = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer "));
            if self.has_token() && !token.is_some_and(|token| self.is_valid_token(token)) {
                return Err(Denial::Token);
            }
            return Ok(match known {
                Some(session) if session.is_operator => (session, false),
                _ => (self.new_session(now, true), true),
            });
        }
        Ok(known.map_or_else(|| (self.new_session(now, !self.has_token()), true), |s| (s, false)))
    }

    /// Denies requests that a page of another site made the browser send.
    fn check_site(&self, req: &Request) -> Result<(), Denial> {
        let headers = req.headers();
        let host = headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or(req.uri().authority().map(Authority::as_str)).unwrap_or_default();
        // DNS rebinding: without a token, a page under a name that an attacker resolves to a loopback address could
        // use the console.
        if !self.has_token() && !is_ip_or_localhost(host) {
            return Err(Denial::Host);
        }
        if matches!(*req.method(), Method::GET | Method::HEAD) {
            return Ok(());
        }
        let site = headers.get(SEC_FETCH_SITE);
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

/// Returns whether a host is an IP address or `localhost`, which DNS rebinding cannot redirect.
fn is_ip_or_localhost(host: &str) -> bool {
    let Ok(authority) = host.parse::<Authority>() else { return false };
    let name = authority.host();
    let address = name.trim_start_matches('[').trim_end_matches(']');
    name == "localhost" || address.parse::<IpAddr>().is_ok()
}

/// Middleware that denies or authenticates each request before it reaches a handler, and sets security headers.
pub(super) async fn check_access<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    mut req: Request,
    next: Next,
) -> Response {
    let access = &console.access;
    let checked = access
        .check_site(&req)
        .and_then(|()| access.authenticate(console.driver.now(), req.headers()));
    let mut response = match checked {
        Err(denial) => {
            slog::warn!(console.driver.log(), "operator-denied"; "reason" => denial.reason());
            denial.into_response()
        }
        Ok((session, is_new)) => {
            let mut response = if session.is_operator || is_public(req.uri().path()) {
                req.extensions_mut().insert(session);
                next.run(req).await
            } else if req.method() == Method::GET && req.uri().path() != "/status" {
                Redirect::to("/login").into_response()
            } else {
                Denial::Token.into_response()
            };
            let headers = response.headers_mut();
            if is_new && !headers.contains_key(header::SET_COOKIE) {
                headers.insert(header::SET_COOKIE, access.cookie(session));
            }
            response
        }
    };
    let security_headers = [
        (header::CACHE_CONTROL, "no-store"),
        (header::CONTENT_SECURITY_POLICY, CSP_VALUE),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        // With a stricter policy, browsers would send `Origin: null` with the console's own forms.
        (header::REFERRER_POLICY, "same-origin"),
    ];
    for (name, value) in security_headers {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    response
}

/// Returns whether a path can be read without a login.
fn is_public(path: &str) -> bool {
    matches!(path, "/login" | "/style.css")
}

impl<P: Platform> FromRequest<Arc<Console<P>>> for PostedForm {
    type Rejection = Response;

    async fn from_request(req: Request, console: &Arc<Console<P>>) -> Result<PostedForm, Response> {
        let session = req.extensions().get::<Session>().copied();
        let form = Form::<Vec<(String, String)>>::from_request(req, console).await;
        let Form(pairs) = form.map_err(IntoResponse::into_response)?;
        let fields: Fields = pairs.into_iter().collect();
        let is_valid = session
            .is_some_and(|session| console.access.is_valid_form_token(session, fields.get("form")));
        if !is_valid {
            slog::warn!(console.driver.log(), "operator-denied"; "reason" => "form");
            return Err(Denial::Form.into_response());
        }
        Ok(PostedForm(fields))
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
        let mut response = (status, format!("{text}\n")).into_response();
        if self == Denial::Token {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}
