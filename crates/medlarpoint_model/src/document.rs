//! Documents in which operators declare resources.

use indexmap::IndexSet;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Diagnostic, Diagnostics, Kind, Resource, Rule};

/// Text format of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// TOML with `[[service]]`, `[[route]]` and `[[policy]]` tables.
    Toml,
    /// JSON with the same three arrays.
    Json,
}

/// A parsed document of resource declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Declared resources, in the order of the document.
    pub resources: Vec<Resource>,
}

impl Document {
    /// Parses `text`, collecting one diagnostic per malformed resource.
    pub fn parse(text: &str, format: Format) -> Result<Self, Diagnostics> {
        let root = match parse_value(text, format) {
            Ok(root) => root,
            Err(diagnostic) => return Err(Diagnostics(vec![diagnostic])),
        };
        let mut parser = Parser::default();
        parser.parse_root(&root);
        if parser.diagnostics.is_empty() {
            return Ok(Self { resources: parser.resources });
        }
        Err(Diagnostics(parser.diagnostics))
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
    diagnostics: Vec<Diagnostic>,
}

impl Parser {
    fn parse_root(&mut self, root: &Value) {
        let Value::Object(tables) = root else {
            self.report(
                Rule::Shape,
                "document",
                "must be a table with the keys service, route, policy and workspace",
            );
            return;
        };
        for (table, items) in tables {
            match table.parse::<Kind>() {
                Ok(kind) => self.parse_items(kind, items),
                Err(_) => {
                    self.report(
                        Rule::Shape,
                        table,
                        "unknown table: use service, route, policy or workspace",
                    );
                }
            }
        }
    }

    fn parse_items(&mut self, kind: Kind, items: &Value) {
        let Value::Array(items) = items else {
            self.report(
                Rule::Shape,
                &kind.to_string(),
                &format!("must be an array of tables: write [[{kind}]]"),
            );
            return;
        };
        for (index, item) in items.iter().enumerate() {
            let name = item.get("name").and_then(Value::as_str);
            let path = format!("{kind}[{}]", name.map_or(index.to_string(), str::to_owned));
            if name.is_none() {
                self.report(Rule::Shape, &path, "missing field `name`");
                continue;
            }
            let resource = match kind {
                Kind::Policy => parse_item(item).map(Resource::Policy),
                Kind::Route => parse_item(item).map(Resource::Route),
                Kind::Service => parse_item(item).map(Resource::Service),
                Kind::Workspace => parse_item(item).map(Resource::Workspace),
            };
            self.add(&path, resource);
        }
    }

    fn add(&mut self, path: &str, resource: Result<Resource, (String, String)>) {
        let resource = match resource {
            Ok(resource) => resource,
            Err((field, message)) => {
                self.report(Rule::Shape, &format!("{path}.{field}"), &message);
                return;
            }
        };
        if self.keys.insert(resource.key()) {
            self.resources.push(resource);
            return;
        }
        self.report(Rule::Duplicate, path, "declared more than once: keep one declaration");
    }

    fn report(&mut self, rule: Rule, path: &str, message: &str) {
        let (path, message) = (path.to_owned(), message.to_owned());
        self.diagnostics.push(Diagnostic { rule, path, message });
    }
}

fn parse_item<T: DeserializeOwned>(item: &Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(item)
        .map_err(|e| (e.path().to_string(), e.inner().to_string()))
}

#[cfg(test)]
mod tests;
