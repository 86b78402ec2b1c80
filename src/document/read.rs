//! Parses a document from JSON and collects every problem of its form; `serde` alone stops at the first.

use compact_str::CompactString;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use super::{
    Budgets, Centre, CentreState, Document, Route, Service, Version,
    validate::{
        MAX_CLAIM_RATE, MAX_DEADLINE_MS, MAX_EJECT_PERCENT, MAX_MEASURE_BYTES, MAX_PERCENT,
        MAX_PROBE_PERMILLE, Problem,
    },
};

/// Parses a document. A field with a problem holds a placeholder.
pub(super) fn document(json: &str, out: &mut Vec<Problem>) -> Document {
    let mut document = Document::default();
    let Some(value) = parse_unique_keys(json, out) else { return document };
    let Some(mut root) = Object::new(String::new(), value, out) else { return document };
    let centres = root.map("centres");
    let services = root.map("services");
    let budgets = root.take("budgets");
    root.report_unknown(&["centres", "services", "budgets"]);
    for (name, path, value) in centres {
        document.centres.insert(name, centre(path, value, out));
    }
    for (name, path, value) in services {
        document.services.insert(name, service(path, value, out));
    }
    if let Some(value) = budgets {
        document.budgets = self::budgets("budgets".into(), value, out);
    }
    document
}

fn centre(path: String, value: Value, out: &mut Vec<Problem>) -> Centre {
    let mut centre = Centre { region: CompactString::default(), state: CentreState::In };
    let Some(mut object) = Object::new(path, value, out) else { return centre };
    centre.region = object.string("region").unwrap_or_default();
    if let Some(value) = object.take("state") {
        match value.as_str() {
            Some("in") => centre.state = CentreState::In,
            Some("out") => centre.state = CentreState::Out,
            _ => {
                object.problem("state", format!("{value} is not a state"), "use \"in\" or \"out\"");
            }
        }
    }
    object.report_unknown(&["region", "state"]);
    centre
}

fn service(path: String, value: Value, out: &mut Vec<Problem>) -> Service {
    let mut service = Service::default();
    let Some(mut object) = Object::new(path, value, out) else { return service };
    let routes = object.list("routes");
    let versions = object.list("versions");
    object.number("deadline_ms", &mut service.deadline_ms, MAX_DEADLINE_MS);
    object.number("retry_percent", &mut service.retry_percent, MAX_PERCENT);
    object.number("eject_percent", &mut service.eject_percent, MAX_EJECT_PERCENT);
    if object.has("hedge") {
        service.hedge = object.boolean("hedge").unwrap_or_default();
    }
    object.report_unknown(&[
        "routes",
        "versions",
        "deadline_ms",
        "retry_percent",
        "eject_percent",
        "hedge",
    ]);
    service.routes = routes.into_iter().map(|(path, value)| route(path, value, out)).collect();
    service.versions =
        versions.into_iter().map(|(path, value)| version(path, value, out)).collect();
    service
}

fn route(path: String, value: Value, out: &mut Vec<Problem>) -> Route {
    let mut route = Route { prefix: CompactString::default(), method: None, idempotent: false };
    let Some(mut object) = Object::new(path, value, out) else { return route };
    route.prefix = object.string("prefix").unwrap_or_default();
    if object.has("method") {
        route.method = object.string("method");
    }
    route.idempotent = object.boolean("idempotent").unwrap_or_default();
    object.report_unknown(&["prefix", "method", "idempotent"]);
    route
}

fn version(path: String, value: Value, out: &mut Vec<Problem>) -> Version {
    let mut version = Version { name: CompactString::default(), start_ms: 0, end_ms: 0 };
    let Some(mut object) = Object::new(path, value, out) else { return version };
    version.name = object.string("name").unwrap_or_default();
    object.number("start_ms", &mut version.start_ms, u64::MAX);
    object.number("end_ms", &mut version.end_ms, u64::MAX);
    object.report_unknown(&["name", "start_ms", "end_ms"]);
    version
}

fn budgets(path: String, value: Value, out: &mut Vec<Problem>) -> Budgets {
    let mut budgets = Budgets::default();
    let Some(mut object) = Object::new(path, value, out) else { return budgets };
    object.number("measure_bytes", &mut budgets.measure_bytes, MAX_MEASURE_BYTES);
    object.number("probe_permille", &mut budgets.probe_permille, MAX_PROBE_PERMILLE);
    object.number("claim_rate", &mut budgets.claim_rate, MAX_CLAIM_RATE);
    object.report_unknown(&["measure_bytes", "probe_permille", "claim_rate"]);
    budgets
}

/// Appends a field name to a path. A name with characters other than ASCII letters, digits, `_` and `-` is quoted.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'-';
    if name.is_empty() || !name.bytes().all(is_plain) {
        format!("{path}[{name:?}]")
    } else if path.is_empty() {
        name.into()
    } else {
        format!("{path}.{name}")
    }
}

/// A JSON object whose fields are removed one by one; the fields that remain at the end are unknown.
struct Object<'a> {
    path: String,
    fields: Map<String, Value>,
    out: &'a mut Vec<Problem>,
}

impl Object<'_> {
    fn new(path: String, value: Value, out: &mut Vec<Problem>) -> Option<Object<'_>> {
        match value {
            Value::Object(fields) => Some(Object { path, fields, out }),
            _ => {
                out.push(Problem::new(path, "is not an object", "write an object in braces"));
                None
            }
        }
    }

    fn report_unknown(self, known: &[&str]) {
        // A known field may still be in the map if it is null, which counts as absent.
        for name in self.fields.keys().filter(|name| !known.contains(&name.as_str())) {
            let remedy = format!("remove it, or use one of: {}", known.join(", "));
            self.out.push(Problem::new(
                join_path(&self.path, name),
                "is not a known field",
                remedy,
            ));
        }
    }

    fn problem(&mut self, name: &str, what: impl Into<CompactString>, remedy: &str) {
        self.out.push(Problem::new(join_path(&self.path, name), what, remedy));
    }

    /// Returns whether a field is present and not null.
    fn has(&self, name: &str) -> bool {
        self.fields.get(name).is_some_and(|v| !v.is_null())
    }

    fn take(&mut self, name: &str) -> Option<Value> {
        self.fields.remove(name).filter(|v| !v.is_null())
    }

    fn take_required(&mut self, name: &str) -> Option<Value> {
        let value = self.take(name);
        if value.is_none() {
            self.problem(name, "is missing", "add the field");
        }
        value
    }

    fn string(&mut self, name: &str) -> Option<CompactString> {
        match self.take_required(name)? {
            Value::String(text) => Some(text.into()),
            value => {
                self.problem(name, format!("{value} is not a string"), "write it in quotes");
                None
            }
        }
    }

    fn boolean(&mut self, name: &str) -> Option<bool> {
        let value = self.take_required(name)?;
        if !value.is_boolean() {
            self.problem(name, format!("{value} is not a truth value"), "use true or false");
        }
        value.as_bool()
    }

    /// Stores an optional number in `to`, which keeps its default if the field is absent.
    fn number<T: TryFrom<u64>>(&mut self, name: &str, to: &mut T, max: u64) {
        let Some(value) = self.take(name) else { return };
        match value.as_u64().filter(|n| *n <= max).and_then(|n| T::try_from(n).ok()) {
            Some(n) => *to = n,
            None => {
                let remedy = format!("use a whole number up to {max}");
                self.problem(name, format!("{value} is out of range"), &remedy);
            }
        }
    }

    fn list(&mut self, name: &str) -> Vec<(String, Value)> {
        let path = join_path(&self.path, name);
        match self.take(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => {
                let item = |(i, value)| (format!("{path}[{i}]"), value);
                items.into_iter().enumerate().map(item).collect()
            }
            Some(_) => {
                self.problem(name, "is not a list", "write a list in brackets");
                Vec::new()
            }
        }
    }

    fn map(&mut self, name: &str) -> Vec<(CompactString, String, Value)> {
        let path = join_path(&self.path, name);
        match self.take_required(name) {
            None => Vec::new(),
            Some(Value::Object(items)) => {
                let item = |(key, value): (String, _)| {
                    (key.as_str().into(), join_path(&path, &key), value)
                };
                items.into_iter().map(item).collect()
            }
            Some(_) => {
                self.problem(name, "is not an object", "write an object in braces");
                Vec::new()
            }
        }
    }
}

/// Parses JSON and reports repeated fields, of which `serde_json` would silently keep the last.
fn parse_unique_keys(json: &str, out: &mut Vec<Problem>) -> Option<Value> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let seed = UniqueKeys { path: String::new(), out: &mut *out };
    match seed.deserialize(&mut reader).and_then(|value| reader.end().map(|()| value)) {
        Ok(value) => Some(value),
        Err(e) => {
            out.push(Problem::new("", format!("is not valid JSON: {e}"), "correct the syntax"));
            None
        }
    }
}

/// Deserialises a [`Value`] and reports every repeated key with its path.
struct UniqueKeys<'a> {
    path: String,
    out: &'a mut Vec<Problem>,
}

impl<'de> DeserializeSeed<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Value, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, items.len());
            match seq.next_element_seed(UniqueKeys { path, out: &mut *self.out })? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let path = join_path(&self.path, &name);
            if fields.contains_key(&name) {
                let remedy = "keep one of the entries";
                self.out.push(Problem::new(path.clone(), "appears more than once", remedy));
            }
            let value = map.next_value_seed(UniqueKeys { path, out: &mut *self.out })?;
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
