//! Forms of one service: all of its settings, or only its versions.

use serde_json::{Value, json};

use crate::{
    console::{
        edit::Edit,
        form::{Errors, Fields, Group, Input, InputKind, field_name},
        utc,
    },
    document::{
        Document, Service, Version,
        validate::{MAX_DEADLINE_MS, MAX_EJECT_PERCENT, MAX_PERCENT},
    },
};

use super::{number_or_text, subpath, validate_section};

/// Whether the form creates a service. Only then is the name one of its fields.
type IsNew = bool;

pub(super) fn fields(name: &str, service: &Service) -> Fields {
    let mut fields = version_fields(&service.versions);
    fields.set("name", name);
    fields.set("deadline_ms", service.deadline_ms);
    fields.set("retry_percent", service.retry_percent);
    fields.set("eject_percent", service.eject_percent);
    fields.set_flag("hedge", service.hedge);
    for (i, route) in service.routes.iter().enumerate() {
        let name = |field| field_name("routes", i, field);
        fields.set(name("prefix"), &route.prefix);
        fields.set(name("method"), route.method.as_deref().unwrap_or_default());
        fields.set_flag(name("idempotent"), route.idempotent);
    }
    fields
}

pub(super) fn version_fields(versions: &[Version]) -> Fields {
    let mut fields = Fields::default();
    let time = |ms| if ms == 0 { String::new() } else { utc::format(ms) };
    for (i, version) in versions.iter().enumerate() {
        let name = |field| field_name("versions", i, field);
        fields.set(name("name"), &version.name);
        fields.set(name("start_ms"), time(version.start_ms));
        fields.set(name("end_ms"), time(version.end_ms));
    }
    fields
}

pub(super) fn groups(is_new: IsNew, fields: &Fields, errors: &Errors) -> Vec<Group> {
    let input = |name: &str, label, kind| Input::new(name, label, kind, fields, errors);
    let number = |name: &str, label, hint: String| input(name, label, InputKind::Number).hint(hint);
    let mut general = vec![
        number(
            "deadline_ms",
            "Deadline in milliseconds",
            format!("For requests that state none; 1 to {MAX_DEADLINE_MS}"),
        ),
        number(
            "retry_percent",
            "Retries and hedges per 100 first attempts",
            format!("0 to {MAX_PERCENT}"),
        ),
        number(
            "eject_percent",
            "Largest share of targets ejected at once, in percent",
            format!("0 to {MAX_EJECT_PERCENT}"),
        ),
        input("hedge", "Send slow idempotent requests to a second target", InputKind::Check),
    ];
    if is_new {
        let name = input("name", "Name", InputKind::Text);
        general.insert(0, name.hint("1 to 63 of a-z, 0-9 and -; callers use it as the authority"));
    }
    let mut groups = vec![Group::new("", "Service", &Errors::default(), general)];
    groups.push(Group::new("routes", "Routes", errors, Vec::new()));
    for (i, row) in fields.rows("routes").into_iter().enumerate() {
        let input = |field, label, kind| input(&field_name("routes", row, field), label, kind);
        let inputs = vec![
            input("prefix", "Path prefix", InputKind::Text).hint("Starts with /"),
            input("method", "Method", InputKind::Text).hint("Empty for all methods"),
            input("idempotent", "May run more than once", InputKind::Check),
            input("remove", "Remove this route", InputKind::Check),
        ];
        groups.push(Group::new(
            format!("routes[{row}]"),
            format!("Route {}", i + 1),
            errors,
            inputs,
        ));
    }
    groups.extend(version_groups(fields, errors));
    groups
}

pub(super) fn version_groups(fields: &Fields, errors: &Errors) -> Vec<Group> {
    let mut groups = vec![Group::new("versions", "Versions, the oldest first", errors, Vec::new())];
    for (i, row) in fields.rows("versions").into_iter().enumerate() {
        let input = |field, label, kind| {
            Input::new(field_name("versions", row, field), label, kind, fields, errors)
        };
        let inputs = vec![
            input("name", "Version", InputKind::Text).hint("As the targets announce it"),
            input("start_ms", "Start of the rollout (UTC)", InputKind::Time),
            input("end_ms", "End of the rollout (UTC)", InputKind::Time).hint(
                "Carries all traffic from then on; the first version may leave out both times",
            ),
            input("remove", "Remove this version", InputKind::Check),
        ];
        let legend = format!("Version {}", i + 1);
        groups.push(Group::new(format!("versions[{row}]"), legend, errors, inputs));
    }
    groups
}

pub(super) fn new(fields: &Fields, base: &Document, errors: &mut Errors) -> Option<Edit> {
    let name = fields.get("name");
    if base.services.contains_key(name) {
        errors.add("name", "is the name of an existing service; choose another, or open its page");
    }
    edit(name, fields, errors)
}

pub(super) fn edit(name: &str, fields: &Fields, errors: &mut Errors) -> Option<Edit> {
    let rows = fields.filled_rows("routes", &["prefix", "method", "idempotent"]);
    let route = |row: &usize| {
        let field = |name| field_name("routes", *row, name);
        let method = Some(fields.get(&field("method"))).filter(|method| !method.is_empty());
        json!({
            "prefix": fields.get(&field("prefix")),
            "method": method,
            "idempotent": fields.has(&field("idempotent")),
        })
    };
    let routes: Vec<Value> = rows.iter().map(route).collect();
    let service = json!({
        "routes": routes,
        "deadline_ms": number_or_text(fields.get("deadline_ms")),
        "retry_percent": number_or_text(fields.get("retry_percent")),
        "eject_percent": number_or_text(fields.get("eject_percent")),
        "hedge": fields.has("hedge"),
    });
    finish_edit(name, service, fields, &rows, errors)
}

pub(super) fn versions(
    name: &str,
    fields: &Fields,
    base: &Document,
    errors: &mut Errors,
) -> Option<Edit> {
    let Some(service) = base.services.get(name) else {
        errors.add("", format!("the document has no service {name:?}; add it first"));
        return None;
    };
    let service =
        serde_json::to_value(service).expect("the document's types have string keys only");
    finish_edit(name, service, fields, &[], errors)
}

/// Adds the posted versions to a service, validates the result and returns it as an edit.
fn finish_edit(
    name: &str,
    mut service: Value,
    fields: &Fields,
    routes: &[usize],
    errors: &mut Errors,
) -> Option<Edit> {
    let rows = fields.filled_rows("versions", &["name", "start_ms", "end_ms"]);
    let mut versions = Vec::new();
    for &row in &rows {
        let mut time = |field| {
            let name = field_name("versions", row, field);
            let text = fields.get(&name);
            let ms = if text.is_empty() { Some(0) } else { utc::parse(text) };
            if ms.is_none() {
                let remedy = "write it in UTC, such as 2026-01-31T12:00:00";
                errors.add(name, format!("{text:?} is not a time; {remedy}"));
            }
            ms.unwrap_or_default()
        };
        let (start, end) = (time("start_ms"), time("end_ms"));
        let name = fields.get(&field_name("versions", row, "name"));
        versions.push(json!({ "name": name, "start_ms": start, "end_ms": end }));
    }
    service["versions"] = versions.into();
    let locate = |path: &str| match subpath(path, "services", name) {
        Some("") => "name".into(),
        Some(field) => row_field(field, "routes", routes)
            .or(row_field(field, "versions", &rows))
            .unwrap_or_else(|| field.into()),
        None => String::new(),
    };
    let document = validate_section("services", json!({ name: service }), errors, locate)?;
    let service = document.services.into_values().next();
    service.map(|service| Edit::Service { name: name.into(), service: Some(service) })
}

/// Returns the form's field for a path such as `routes[1].prefix`. The index in the path does not count rows that were
/// left out of the document, such as empty ones.
fn row_field(path: &str, list: &str, rows: &[usize]) -> Option<String> {
    let (index, field) = path.strip_prefix(list)?.strip_prefix('[')?.split_once("].")?;
    let row = rows.get(index.parse::<usize>().ok()?)?;
    Some(field_name(list, *row, field))
}
