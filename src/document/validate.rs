//! The validation of a document, which reports all problems at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use compact_str::CompactString;
use serde::Serialize;

use super::{
    CentreState, Document, Route, Service, Version,
    read::{self, join_path},
};

/// The maximum size of a document in bytes of JSON; 4,700 services take about 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// The maximum number of data centres; 20 are planned.
pub const MAX_CENTRES: usize = 64;

/// The maximum number of services; 4,700 are planned.
pub const MAX_SERVICES: usize = 16_384;

/// The maximum number of routes of a service, bounded because each request searches them for the longest matching
/// prefix.
pub const MAX_ROUTES: usize = 64;

/// The maximum number of versions of a service, of which usually one or two carry traffic.
pub const MAX_VERSIONS: usize = 16;

/// The maximum length of a name in bytes: that of a DNS label, because callers use service names as authorities.
pub const MAX_NAME_BYTES: usize = 63;

/// The maximum length of a path prefix in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// The maximum default deadline in milliseconds; the outcome of a request is remembered for as long.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// The maximum of a percentage.
pub const MAX_PERCENT: u64 = 100;

/// The maximum share of targets in percent that may be ejected, so that some always remain.
pub const MAX_EJECT_PERCENT: u64 = 90;

/// The maximum budget for load measurements in bytes per second: the entire control budget of a node, 17 KB/s.
pub const MAX_MEASURE_BYTES: u64 = 17_000;

/// The maximum number of probes per 1,000 calls.
pub const MAX_PROBE_PERMILLE: u64 = 1_000;

/// The maximum number of claims per second and node; the platform accepts several hundred writes per second in
/// total.
pub const MAX_CLAIM_RATE: u64 = 500;

/// The service name reserved for requests to the nodes themselves, such as `POST /identity`.
pub const RESERVED_SERVICE: &str = "poplarbarrow";

/// A problem in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The path of the field, such as `services.orders.routes[0].prefix`; empty for the whole document.
    pub path: CompactString,
    /// What is wrong.
    pub what: CompactString,
    /// How to correct it.
    pub remedy: CompactString,
}

impl Problem {
    pub(super) fn new(
        path: impl Into<CompactString>,
        what: impl Into<CompactString>,
        remedy: impl Into<CompactString>,
    ) -> Problem {
        Problem { path: path.into(), what: what.into(), remedy: remedy.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "document" } else { &self.path };
        write!(f, "{path}: {}; {}", self.what, self.remedy)
    }
}

/// Reads a document from JSON and checks it.
///
/// # Errors
///
/// Returns every problem of form and of content.
pub fn parse(json: &str) -> Result<Document, Vec<Problem>> {
    if json.len() > MAX_DOCUMENT_BYTES {
        let what = format!("has {} bytes, the limit is {MAX_DOCUMENT_BYTES}", json.len());
        return Err(vec![Problem::new("", what, "split it into separate installations")]);
    }
    let mut problems = Vec::new();
    let document = read::document(json, &mut problems);
    // A field with a problem of form holds a placeholder, whose content is not validated.
    let known: BTreeSet<CompactString> = problems.iter().map(|p| p.path.clone()).collect();
    problems.extend(validate(&document).into_iter().filter(|p| !known.contains(&p.path)));
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// Returns every problem of a document's content.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut validator = Validator { problems: Vec::new() };
    validator.count("centres", document.centres.len(), MAX_CENTRES);
    for (name, centre) in &document.centres {
        let path = join_path("centres", name);
        validator.dns_label(&path, name);
        validator.dns_label(&join_path(&path, "region"), &centre.region);
    }
    validator.count("services", document.services.len(), MAX_SERVICES);
    validator.services(&document.services);
    let b = &document.budgets;
    validator.range("budgets.measure_bytes", b.measure_bytes.into(), 0, MAX_MEASURE_BYTES);
    validator.range("budgets.probe_permille", b.probe_permille.into(), 0, MAX_PROBE_PERMILLE);
    validator.range("budgets.claim_rate", b.claim_rate.into(), 0, MAX_CLAIM_RATE);
    validator.problems
}

/// Returns every problem of some services; each service is validated on its own.
pub(crate) fn validate_services(services: &BTreeMap<CompactString, Service>) -> Vec<Problem> {
    let mut validator = Validator { problems: Vec::new() };
    validator.services(services);
    validator.problems
}

/// Returns the problem of too many services, if there is one.
pub(crate) fn validate_count(document: &Document) -> Vec<Problem> {
    let mut validator = Validator { problems: Vec::new() };
    validator.count("services", document.services.len(), MAX_SERVICES);
    validator.problems
}

/// Returns warnings about content that is valid but most likely not intended.
pub fn warnings(document: &Document) -> Vec<Problem> {
    let mut warnings = Vec::new();
    if !document.centres.values().any(|c| c.state == CentreState::In) {
        let remedy = "set the state of at least one to \"in\"";
        warnings.push(Problem::new("centres", "no data centre is in service", remedy));
    }
    warnings
}

struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn check<T: Into<CompactString>>(
        &mut self,
        is_met: bool,
        path: &str,
        what: impl FnOnce() -> T,
        remedy: &str,
    ) {
        if !is_met {
            self.problems.push(Problem::new(path, what(), remedy));
        }
    }

    fn count(&mut self, path: &str, count: usize, max: usize) {
        let what = || format!("has {count} entries, the limit is {max}");
        self.check(count <= max, path, what, "remove entries that are no longer used");
    }

    fn range(&mut self, path: &str, n: u64, min: u64, max: u64) {
        let remedy = format!("use a whole number from {min} to {max}");
        self.check((min..=max).contains(&n), path, || format!("{n} is out of range"), &remedy);
    }

    /// Requires a lower-case DNS label, which can be an authority and part of a platform key.
    fn dns_label(&mut self, path: &str, name: &str) {
        let is_valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let is_met = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.bytes().all(is_valid)
            && !name.starts_with('-')
            && !name.ends_with('-');
        let remedy = "use 1 to 63 of a-z, 0-9 and -, with no - at either end";
        self.check(is_met, path, || format!("{name:?} is not a valid name"), remedy);
    }

    fn services(&mut self, services: &BTreeMap<CompactString, Service>) {
        for (name, service) in services {
            let path = join_path("services", name);
            self.dns_label(&path, name);
            let remedy = "choose another name";
            self.check(name != RESERVED_SERVICE, &path, || "is reserved for the nodes", remedy);
            self.service(&path, service);
        }
    }

    fn service(&mut self, path: &str, service: &Service) {
        self.range(&join_path(path, "deadline_ms"), service.deadline_ms.into(), 1, MAX_DEADLINE_MS);
        self.range(&join_path(path, "retry_percent"), service.retry_percent.into(), 0, MAX_PERCENT);
        self.range(
            &join_path(path, "eject_percent"),
            service.eject_percent.into(),
            0,
            MAX_EJECT_PERCENT,
        );
        let routes = join_path(path, "routes");
        self.count(&routes, service.routes.len(), MAX_ROUTES);
        let mut routes_seen = BTreeSet::new();
        for (i, route) in service.routes.iter().enumerate() {
            let path = format!("{routes}[{i}]");
            self.route(&path, route);
            let is_unique = routes_seen.insert((&route.prefix, &route.method));
            let what = || "repeats the prefix and method of an earlier route";
            self.check(is_unique, &join_path(&path, "prefix"), what, "keep one of the routes");
        }
        let versions = join_path(path, "versions");
        self.count(&versions, service.versions.len(), MAX_VERSIONS);
        let mut names = BTreeSet::new();
        let mut earlier = 0;
        for (i, version) in service.versions.iter().enumerate() {
            let path = format!("{versions}[{i}]");
            let is_first = i == 0;
            self.version(&path, version, is_first);
            let what = || format!("{:?} names an earlier version too", version.name);
            let is_unique = names.insert(&version.name);
            self.check(
                is_unique,
                &join_path(&path, "name"),
                what,
                "give each version its own name",
            );
            let what =
                || format!("{} lies before the start of an earlier version", version.start_ms);
            let is_met = version.start_ms >= earlier;
            self.check(
                is_met,
                &join_path(&path, "start_ms"),
                what,
                "list the oldest version first",
            );
            earlier = earlier.max(version.start_ms);
        }
    }

    fn route(&mut self, path: &str, route: &Route) {
        let prefix = &route.prefix;
        let is_valid = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
        let is_met = prefix.starts_with('/')
            && prefix.len() <= MAX_PREFIX_BYTES
            && prefix.bytes().all(is_valid);
        let what = || format!("{prefix:?} is not a path prefix");
        let remedy = "use up to 256 visible ASCII characters that start with / and have no ? or #";
        self.check(is_met, &join_path(path, "prefix"), what, remedy);
        if let Some(method) = &route.method {
            let is_token = http::Method::from_bytes(method.as_bytes()).is_ok();
            let is_met = is_token && !method.bytes().any(|b| b.is_ascii_lowercase());
            let what = || format!("{method:?} is not a method");
            self.check(
                is_met,
                &join_path(path, "method"),
                what,
                "write it in capitals, such as GET",
            );
        }
    }

    fn version(&mut self, path: &str, version: &Version, is_first: bool) {
        let name = &version.name;
        let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        let is_met = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_valid);
        let what = || format!("{name:?} is not a valid version name");
        let remedy = "use 1 to 63 of a-z, A-Z, 0-9, dot, _ and -";
        self.check(is_met, &join_path(path, "name"), what, remedy);
        let is_initial = is_first && version.start_ms == 0 && version.end_ms == 0;
        let what = || format!("{} is not after start_ms {}", version.end_ms, version.start_ms);
        let remedy = "end the rollout after its start; only the first version may leave out both";
        let is_met = is_initial || version.end_ms > version.start_ms;
        self.check(is_met, &join_path(path, "end_ms"), what, remedy);
    }
}

#[cfg(test)]
mod tests;
