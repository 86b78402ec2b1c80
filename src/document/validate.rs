//! The rules that a document must meet. All problems are reported at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use compact_str::CompactString;
use serde::Serialize;

use super::{
    CentreState, Document, Route, Service, Version,
    read::{self, join},
};

/// The largest document in bytes of JSON; 4,700 services take about 1 MB.
pub const MAX_TEXT: usize = 16 << 20;

/// The most data centres; 20 are planned.
pub const MAX_CENTRES: usize = 64;

/// The most services; 4,700 are planned.
pub const MAX_SERVICES: usize = 16_384;

/// The most routes of a service; the longest prefix is searched for each request.
pub const MAX_ROUTES: usize = 64;

/// The most versions of a service, of which usually one or two carry traffic.
pub const MAX_VERSIONS: usize = 16;

/// The longest name in bytes: the limit of a DNS label, because callers use service names as authorities.
pub const MAX_NAME: usize = 63;

/// The longest path prefix in bytes.
pub const MAX_PREFIX: usize = 256;

/// The longest default deadline in milliseconds; the outcome of a request is remembered for as long.
pub const MAX_DEADLINE: u64 = 600_000;

/// The largest value of a percentage.
pub const MAX_PERCENT: u64 = 100;

/// The largest share of targets in percent that may be ejected, so that some always stay.
pub const MAX_EJECT: u64 = 90;

/// The largest measuring budget in bytes per second: the whole control budget of a node, 17 KB/s.
pub const MAX_MEASURE: u64 = 17_000;

/// The most probes per 1,000 calls.
pub const MAX_PROBE: u64 = 1_000;

/// The most claims per second of one node; the platform takes several hundred writes a second in all.
pub const MAX_CLAIMS: u64 = 500;

/// The service name that nodes keep for their own requests, such as `POST /identity`.
pub const RESERVED: &str = "poplarbarrow";

/// Something wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The path of the field, such as `services.orders.routes[0].prefix`; empty for the whole document.
    pub path: CompactString,
    /// What is wrong.
    pub what: CompactString,
    /// What to do about it.
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
    if json.len() > MAX_TEXT {
        let what = format!("has {} bytes, the limit is {MAX_TEXT}", json.len());
        return Err(vec![Problem::new("", what, "split it into separate installations")]);
    }
    let mut problems = Vec::new();
    let document = read::document(json, &mut problems);
    // A field with a problem of form holds a placeholder, whose content is not judged.
    let known: BTreeSet<CompactString> = problems.iter().map(|p| p.path.clone()).collect();
    problems.extend(validate(&document).into_iter().filter(|p| !known.contains(&p.path)));
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// Returns every problem of a document's content.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut rules = Rules { problems: Vec::new() };
    rules.count("centres", document.centres.len(), MAX_CENTRES);
    for (name, centre) in &document.centres {
        let path = join("centres", name);
        rules.label(&path, name);
        rules.label(&join(&path, "region"), &centre.region);
    }
    rules.count("services", document.services.len(), MAX_SERVICES);
    rules.services(&document.services);
    let b = &document.budgets;
    rules.range("budgets.measure_bytes", b.measure_bytes.into(), 0, MAX_MEASURE);
    rules.range("budgets.probe_permille", b.probe_permille.into(), 0, MAX_PROBE);
    rules.range("budgets.claim_rate", b.claim_rate.into(), 0, MAX_CLAIMS);
    rules.problems
}

/// Returns every problem of some services, each of which has no effect on the others.
pub(crate) fn validate_services(services: &BTreeMap<CompactString, Service>) -> Vec<Problem> {
    let mut rules = Rules { problems: Vec::new() };
    rules.services(services);
    rules.problems
}

/// Returns the problem of too many services, if there is one.
pub(crate) fn validate_count(document: &Document) -> Vec<Problem> {
    let mut rules = Rules { problems: Vec::new() };
    rules.count("services", document.services.len(), MAX_SERVICES);
    rules.problems
}

/// Returns what is allowed in a document but most likely not intended.
pub fn warnings(document: &Document) -> Vec<Problem> {
    let mut warnings = Vec::new();
    if !document.centres.values().any(|c| c.state == CentreState::In) {
        let remedy = "set the state of at least one to \"in\"";
        warnings.push(Problem::new("centres", "no data centre is in service", remedy));
    }
    warnings
}

struct Rules {
    problems: Vec<Problem>,
}

impl Rules {
    fn check<T: Into<CompactString>>(
        &mut self,
        met: bool,
        path: &str,
        what: impl FnOnce() -> T,
        remedy: &str,
    ) {
        if !met {
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

    /// A lower-case DNS label, so that it can be an authority and part of a platform key.
    fn label(&mut self, path: &str, name: &str) {
        let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let met = (1..=MAX_NAME).contains(&name.len())
            && name.bytes().all(valid)
            && !name.starts_with('-')
            && !name.ends_with('-');
        let remedy = "use 1 to 63 of a-z, 0-9 and -, with no - at either end";
        self.check(met, path, || format!("{name:?} is not a valid name"), remedy);
    }

    fn services(&mut self, services: &BTreeMap<CompactString, Service>) {
        for (name, service) in services {
            let path = join("services", name);
            self.label(&path, name);
            let remedy = "choose another name";
            self.check(name != RESERVED, &path, || "is reserved for the nodes", remedy);
            self.service(&path, service);
        }
    }

    fn service(&mut self, path: &str, service: &Service) {
        self.range(&join(path, "deadline_ms"), service.deadline_ms.into(), 1, MAX_DEADLINE);
        self.range(&join(path, "retry_percent"), service.retry_percent.into(), 0, MAX_PERCENT);
        self.range(&join(path, "eject_percent"), service.eject_percent.into(), 0, MAX_EJECT);
        let routes = join(path, "routes");
        self.count(&routes, service.routes.len(), MAX_ROUTES);
        let mut rules = BTreeSet::new();
        for (i, route) in service.routes.iter().enumerate() {
            let path = format!("{routes}[{i}]");
            self.route(&path, route);
            let unique = rules.insert((&route.prefix, &route.method));
            let what = || "repeats the prefix and method of an earlier route";
            self.check(unique, &join(&path, "prefix"), what, "keep one of the routes");
        }
        let versions = join(path, "versions");
        self.count(&versions, service.versions.len(), MAX_VERSIONS);
        let mut names = BTreeSet::new();
        let mut earlier = 0;
        for (i, version) in service.versions.iter().enumerate() {
            let path = format!("{versions}[{i}]");
            let first = i == 0;
            self.version(&path, version, first);
            let what = || format!("{:?} names an earlier version too", version.name);
            let unique = names.insert(&version.name);
            self.check(unique, &join(&path, "name"), what, "give each version its own name");
            let what =
                || format!("{} lies before the start of an earlier version", version.start_ms);
            let met = version.start_ms >= earlier;
            self.check(met, &join(&path, "start_ms"), what, "list the oldest version first");
            earlier = earlier.max(version.start_ms);
        }
    }

    fn route(&mut self, path: &str, route: &Route) {
        let prefix = &route.prefix;
        let valid = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
        let met =
            prefix.starts_with('/') && prefix.len() <= MAX_PREFIX && prefix.bytes().all(valid);
        let what = || format!("{prefix:?} is not a path prefix");
        let remedy = "use up to 256 visible ASCII characters that start with / and have no ? or #";
        self.check(met, &join(path, "prefix"), what, remedy);
        if let Some(method) = &route.method {
            let token = http::Method::from_bytes(method.as_bytes()).is_ok();
            let met = token && !method.bytes().any(|b| b.is_ascii_lowercase());
            let what = || format!("{method:?} is not a method");
            self.check(met, &join(path, "method"), what, "write it in capitals, such as GET");
        }
    }

    fn version(&mut self, path: &str, version: &Version, first: bool) {
        let name = &version.name;
        let valid = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        let met = (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(valid);
        let what = || format!("{name:?} is not a valid version name");
        let remedy = "use 1 to 63 of a-z, A-Z, 0-9, dot, _ and -";
        self.check(met, &join(path, "name"), what, remedy);
        let base = first && version.start_ms == 0 && version.end_ms == 0;
        let what = || format!("{} is not after start_ms {}", version.end_ms, version.start_ms);
        let remedy = "end the rollout after its start; only the first version may leave out both";
        let met = base || version.end_ms > version.start_ms;
        self.check(met, &join(path, "end_ms"), what, remedy);
    }
}

#[cfg(test)]
mod tests;
