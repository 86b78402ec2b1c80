//! Form of all data centres.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde_json::{Map, json};

use crate::{
    console::{
        edit::Edit,
        form::{Errors, Fields, Group, Input, InputKind, field_name},
    },
    document::{Centre, CentreState},
};

use super::{subpath, validate_section};

/// Options of the field `state`: value and label.
const STATES: &[(&str, &str)] = &[("in", "In service"), ("out", "Out of service")];

pub(super) fn fields(centres: &BTreeMap<CompactString, Centre>) -> Fields {
    let mut fields = Fields::default();
    for (i, (name, centre)) in centres.iter().enumerate() {
        let field = |field| field_name("centres", i, field);
        fields.set(field("name"), name);
        fields.set(field("known"), "");
        fields.set(field("region"), &centre.region);
        let state = match centre.state {
            CentreState::In => "in",
            CentreState::Out => "out",
        };
        fields.set(field("state"), state);
    }
    fields
}

pub(super) fn groups(fields: &Fields, errors: &Errors) -> Vec<Group> {
    let mut groups = vec![Group::new("centres", "Data centres", errors, Vec::new())];
    for row in fields.rows("centres") {
        let name = |field| field_name("centres", row, field);
        let input = |field, label, kind| Input::new(name(field), label, kind, fields, errors);
        let is_known = fields.has(&name("known"));
        let kind = if is_known { InputKind::Fixed } else { InputKind::Text };
        let mut inputs = vec![
            input("name", "Name", kind).hint(if is_known {
                ""
            } else {
                "1 to 63 of a-z, 0-9 and -"
            }),
            input("region", "Region", InputKind::Text),
            input("state", "State", InputKind::Choice(STATES)),
            input("remove", "Remove this data centre", InputKind::Check),
        ];
        if is_known {
            inputs.push(input("known", "", InputKind::Fixed));
        }
        let legend = match fields.get(&name("name")) {
            "" => "New data centre".into(),
            name => format!("Data centre {name}"),
        };
        groups.push(Group::new(format!("centres[{row}]"), legend, errors, inputs));
    }
    groups
}

pub(super) fn edit(fields: &Fields, errors: &mut Errors) -> Option<Edit> {
    let rows = fields.filled_rows("centres", &["name", "region"]);
    let mut centres = Map::new();
    for &row in &rows {
        let get = |field| fields.get(&field_name("centres", row, field));
        let centre = json!({ "region": get("region"), "state": get("state") });
        if centres.insert(get("name").into(), centre).is_some() {
            let message = "is the name of another data centre; choose another";
            errors.add(field_name("centres", row, "name"), message);
        }
    }
    let locate = |path: &str| {
        let found = rows.iter().find_map(|&row| {
            let field = subpath(path, "centres", fields.get(&field_name("centres", row, "name")))?;
            Some(field_name("centres", row, if field.is_empty() { "name" } else { field }))
        });
        found.unwrap_or_else(|| path.into())
    };
    validate_section("centres", centres.into(), errors, locate).map(|d| Edit::Centres(d.centres))
}
