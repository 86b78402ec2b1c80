//! Form of each node's budgets for measurements, probes and claims.

use serde_json::json;

use crate::{
    console::{
        edit::Edit,
        form::{Errors, Fields, Group, Input, InputKind},
    },
    document::{
        Budgets,
        validate::{MAX_CLAIM_RATE, MAX_MEASURE_BYTES, MAX_PROBE_PERMILLE},
    },
};

use super::{number_or_text, validate_section};

pub(super) fn fields(budgets: &Budgets) -> Fields {
    let mut fields = Fields::default();
    fields.set("measure_bytes", budgets.measure_bytes);
    fields.set("probe_permille", budgets.probe_permille);
    fields.set("claim_rate", budgets.claim_rate);
    fields
}

pub(super) fn groups(fields: &Fields, errors: &Errors) -> Vec<Group> {
    let input = |name, label, max: u64| {
        Input::new(name, label, InputKind::Number, fields, errors).hint(format!("0 to {max}"))
    };
    let inputs = vec![
        input("measure_bytes", "Measuring load, in bytes per second", MAX_MEASURE_BYTES),
        input("probe_permille", "Probes per 1,000 calls", MAX_PROBE_PERMILLE),
        input("claim_rate", "Claims of caller-chosen identities per second", MAX_CLAIM_RATE),
    ];
    vec![Group::new("", "Budgets of each node", &Errors::default(), inputs)]
}

pub(super) fn edit(fields: &Fields, errors: &mut Errors) -> Option<Edit> {
    let get = |name| number_or_text(fields.get(name));
    let budgets = json!({
        "measure_bytes": get("measure_bytes"),
        "probe_permille": get("probe_permille"),
        "claim_rate": get("claim_rate"),
    });
    let locate = |path: &str| path.strip_prefix("budgets.").unwrap_or_default().into();
    validate_section("budgets", budgets, errors, locate)
        .map(|document| Edit::Budgets(document.budgets))
}
