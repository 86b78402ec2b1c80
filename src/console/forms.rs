//! Forms of the console: each shows one section of the document and converts its fields to an [`Edit`].

mod budgets;
mod centres;
mod service;

use serde_json::{Value, json};

use crate::document::{
    Document,
    read::join_path,
    validate::{Problem, parse, validate},
};

use super::{
    edit::Edit,
    form::{Errors, Fields, Group, field_name},
};

/// Number of empty rows at the end of each list of a form.
const EMPTY_ROWS: usize = 2;

/// A page with a form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Page {
    NewService,
    Service(String),
    Versions(String),
    Centres,
    Budgets,
}

impl Page {
    /// Returns the page with the form at a path, if there is one.
    pub(super) fn from_path(path: &str) -> Option<Page> {
        let name = |prefix: &str| {
            path.strip_prefix(prefix).filter(|name| !name.is_empty()).map(String::from)
        };
        match path {
            "/new-service" => Some(Page::NewService),
            "/centres" => Some(Page::Centres),
            "/budgets" => Some(Page::Budgets),
            _ => name("/services/").map(Page::Service).or(name("/versions/").map(Page::Versions)),
        }
    }

    /// Returns the page whose form can show an edit.
    pub(super) fn for_edit(edit: &Edit, base: &Document) -> Page {
        match edit {
            Edit::Service { name, .. } if base.services.contains_key(name) => {
                Page::Service(name.to_string())
            }
            Edit::Service { .. } => Page::NewService,
            Edit::Centres(_) => Page::Centres,
            Edit::Budgets(_) => Page::Budgets,
        }
    }

    pub(super) fn path(&self) -> String {
        match self {
            Page::NewService => "/new-service".into(),
            Page::Service(name) => format!("/services/{name}"),
            Page::Versions(name) => format!("/versions/{name}"),
            Page::Centres => "/centres".into(),
            Page::Budgets => "/budgets".into(),
        }
    }

    pub(super) fn title(&self) -> String {
        match self {
            Page::NewService => "New service".into(),
            Page::Service(name) => format!("Service {name}"),
            Page::Versions(name) => format!("Versions of {name}"),
            Page::Centres => "Data centres".into(),
            Page::Budgets => "Budgets".into(),
        }
    }

    pub(super) fn can_remove(&self) -> bool {
        matches!(self, Page::Service(_))
    }

    pub(super) fn can_grow(&self) -> bool {
        *self != Page::Budgets
    }

    /// Returns the form's values for a document, or `None` if the document does not have the service.
    pub(super) fn fields(&self, document: &Document) -> Option<Fields> {
        let mut fields = match self {
            Page::NewService => service::fields("", &Default::default()),
            Page::Service(name) => service::fields(name, document.services.get(name.as_str())?),
            Page::Versions(name) => {
                service::version_fields(&document.services.get(name.as_str())?.versions)
            }
            Page::Centres => centres::fields(&document.centres),
            Page::Budgets => budgets::fields(&document.budgets),
        };
        self.add_empty_rows(&mut fields);
        Some(fields)
    }

    /// Adds empty rows to the lists of the form.
    pub(super) fn add_empty_rows(&self, fields: &mut Fields) {
        match self {
            Page::NewService | Page::Service(_) => {
                fields.add_rows("routes", "prefix", EMPTY_ROWS);
                fields.add_rows("versions", "name", EMPTY_ROWS);
            }
            Page::Versions(_) => {
                fields.add_rows("versions", "name", EMPTY_ROWS);
            }
            Page::Centres => {
                for row in fields.add_rows("centres", "name", EMPTY_ROWS) {
                    fields.set(field_name("centres", row, "state"), "in");
                }
            }
            Page::Budgets => {}
        }
    }

    /// Returns the groups of inputs that the page shows.
    pub(super) fn groups(&self, fields: &Fields, errors: &Errors) -> Vec<Group> {
        match self {
            Page::NewService => service::groups(true, fields, errors),
            Page::Service(_) => service::groups(false, fields, errors),
            Page::Versions(_) => service::version_groups(fields, errors),
            Page::Centres => centres::groups(fields, errors),
            Page::Budgets => budgets::groups(fields, errors),
        }
    }

    /// Converts the posted fields to an edit of a document, or returns all errors.
    pub(super) fn edit(&self, fields: &Fields, base: &Document) -> Result<Edit, Errors> {
        let mut errors = Errors::default();
        let edit = match self {
            Page::NewService => service::new(fields, base, &mut errors),
            Page::Service(name) => service::edit(name, fields, &mut errors),
            Page::Versions(name) => service::versions(name, fields, base, &mut errors),
            Page::Centres => centres::edit(fields, &mut errors),
            Page::Budgets => budgets::edit(fields, &mut errors),
        };
        let Some(edit) = edit.filter(|_| errors.is_empty()) else { return Err(errors) };
        // A valid section can still break a rule of the whole document, such as the maximum number of services.
        for problem in validate(&edit.apply(base)) {
            errors.add("", problem.to_string());
        }
        if errors.is_empty() { Ok(edit) } else { Err(errors) }
    }
}

/// Validates a document that has only the form's section, by the rules for whole documents.
///
/// `locate` maps the path of a problem to a field of the form. Problems of a field that already has an error are
/// ignored, because such a field holds a placeholder.
fn validate_section(
    section: &str,
    value: Value,
    errors: &mut Errors,
    locate: impl Fn(&str) -> String,
) -> Option<Document> {
    let mut root = json!({ "centres": {}, "services": {} });
    root[section] = value;
    match parse(&root.to_string()) {
        Ok(document) => Some(document),
        Err(problems) => {
            let existing = errors.clone();
            for Problem { path, what, remedy } in problems {
                let name = locate(&path);
                if !existing.has(&name) {
                    errors.add(name, format!("{what}; {remedy}"));
                }
            }
            None
        }
    }
}

/// Returns the part of a path below an entry such as `services.orders`, without the dot.
fn subpath<'a>(path: &'a str, section: &str, name: &str) -> Option<&'a str> {
    let rest = path.strip_prefix(join_path(section, name).as_str())?;
    match rest.strip_prefix('.') {
        Some(field) => Some(field),
        None if rest.is_empty() => Some(""),
        None => None,
    }
}

/// Returns a number as JSON, or the text itself if it is not a number, so that the validation's message can quote it.
fn number_or_text(text: &str) -> Value {
    text.parse::<u64>().map_or_else(|_| text.into(), Value::from)
}
