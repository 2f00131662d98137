//! Documents in which operators declare resources.

use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Diagnostic, Diagnostics, Kind, Resource, Rule};

/// Text formats of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// TOML with `[[service]]`, `[[route]]` and `[[policy]]` tables.
    Toml,
    /// JSON with the same three arrays.
    Json,
}

/// A parsed document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// The declared resources, in the order of the document.
    pub resources: Vec<Resource>,
}

impl Document {
    /// Parses `text`, collecting a fault for each malformed resource.
    pub fn parse(text: &str, format: Format) -> Result<Self, Diagnostics> {
        let root = match parse_value(text, format) {
            Ok(root) => root,
            Err(fault) => return Err(Diagnostics(vec![fault])),
        };
        let mut parser = Parser::default();
        parser.root(&root);
        if parser.faults.is_empty() {
            return Ok(Self { resources: parser.resources });
        }
        Err(Diagnostics(parser.faults))
    }
}

fn parse_value(text: &str, format: Format) -> Result<Value, Diagnostic> {
    let parsed = match format {
        Format::Toml => toml::from_str::<Value>(text).map_err(|e| e.to_string()),
        Format::Json => serde_json::from_str::<Value>(text).map_err(|e| e.to_string()),
    };
    parsed.map_err(|message| Diagnostic {
        rule: Rule::Syntax,
        path: "document".to_owned(),
        message: format!("not valid {format}: {}", message.trim_end()),
    })
}

#[derive(Default)]
struct Parser {
    resources: Vec<Resource>,
    keys: IndexSet<crate::Key>,
    faults: Vec<Diagnostic>,
}

impl Parser {
    fn root(&mut self, root: &Value) {
        let Value::Object(tables) = root else {
            self.fault(Rule::Shape, "document", "must be a table of service, route and policy");
            return;
        };
        for (table, items) in tables {
            match table.parse::<Kind>() {
                Ok(kind) => self.items(kind, items),
                Err(_) => self.fault(Rule::Shape, table, "unknown: use service, route or policy"),
            }
        }
    }

    fn items(&mut self, kind: Kind, items: &Value) {
        let Value::Array(items) = items else {
            self.fault(Rule::Shape, &kind.to_string(), &format!("write [[{kind}]]"));
            return;
        };
        for (index, item) in items.iter().enumerate() {
            let name = item.get("name").and_then(Value::as_str);
            let path = format!("{kind}[{}]", name.map_or(index.to_string(), str::to_owned));
            if name.is_none() {
                self.fault(Rule::Shape, &path, "missing field `name`");
                continue;
            }
            let resource = match kind {
                Kind::Policy => parse_item(item).map(Resource::Policy),
                Kind::Route => parse_item(item).map(Resource::Route),
                Kind::Service => parse_item(item).map(Resource::Service),
            };
            self.resource(&path, resource);
        }
    }

    fn resource(&mut self, path: &str, resource: Result<Resource, (String, String)>) {
        let resource = match resource {
            Ok(resource) => resource,
            Err((field, message)) => {
                self.fault(Rule::Shape, &format!("{path}.{field}"), &message);
                return;
            }
        };
        if self.keys.insert(resource.key()) {
            self.resources.push(resource);
            return;
        }
        self.fault(Rule::Duplicate, path, "declared twice: keep one");
    }

    fn fault(&mut self, rule: Rule, path: &str, message: &str) {
        let (path, message) = (path.to_owned(), message.to_owned());
        self.faults.push(Diagnostic { rule, path, message });
    }
}

fn parse_item<T: DeserializeOwned>(item: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(item)
        .map_err(|e| (e.path().to_string(), e.inner().to_string()))
}

#[cfg(test)]
mod tests;
