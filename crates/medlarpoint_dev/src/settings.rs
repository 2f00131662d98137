//! Renders the reference of the settings.

use std::fmt::Write as _;

use medlarpoint_daemon::Options;
use schemars::schema::{InstanceType, RootSchema, Schema, SchemaObject, SingleOrVec};

const HEADER: &str = "# Settings

Rendered from the code by `medlarpoint_dev generate-all`. `medlarpointd --settings FILE --check`
checks a file. It exits with code 2 on an error, which names the key or the line and the fix.

| key | type | default | meaning |
|---|---|---|---|
";

pub(crate) fn render() -> String {
    let root = schemars::schema_for!(Options);
    let mut text = HEADER.to_owned();
    write_rows(&root, &root.schema, "", &mut text);
    text
}

/// Adds a row for each setting below `schema`, with nested keys joined by dots.
fn write_rows(root: &RootSchema, schema: &SchemaObject, prefix: &str, text: &mut String) {
    let Some(object) = &schema.object else {
        return;
    };
    for (name, property) in &object.properties {
        let key = format!("{prefix}{name}");
        let Schema::Object(property) = property else {
            continue;
        };
        let target = resolve(root, property);
        if target.object.is_some() {
            write_rows(root, target, &format!("{key}."), text);
            continue;
        }
        let metadata = property.metadata.as_ref().or(target.metadata.as_ref());
        let meaning = metadata.and_then(|m| m.description.clone()).unwrap_or_default();
        let meaning = meaning.replace('\n', " ");
        let default = property.metadata.as_ref().and_then(|m| m.default.as_ref());
        let default = match default {
            Some(default) => format!("`{default}`"),
            None if object.required.contains(name) => "required".to_owned(),
            None => String::new(),
        };
        let _ = writeln!(text, "| `{key}` | {} | {default} | {meaning} |", type_name(target));
    }
}

/// Resolves a reference to a named type.
fn resolve<'a>(root: &'a RootSchema, schema: &'a SchemaObject) -> &'a SchemaObject {
    let inner = schema.subschemas.as_ref().and_then(|s| s.all_of.as_ref()).and_then(|s| s.first());
    let schema = match inner {
        Some(Schema::Object(inner)) => inner,
        _ => schema,
    };
    let Some(reference) = &schema.reference else {
        return schema;
    };
    let name = reference.rsplit('/').next().unwrap_or_default();
    match root.definitions.get(name) {
        Some(Schema::Object(found)) => found,
        _ => schema,
    }
}

/// Returns the type of a setting, as shown in the table.
fn type_name(schema: &SchemaObject) -> &'static str {
    if schema.enum_values.is_some() || schema.subschemas.is_some() {
        return "choice";
    }
    let Some(SingleOrVec::Single(instance_type)) = &schema.instance_type else {
        return "text, optional";
    };
    match **instance_type {
        InstanceType::Array => "list",
        InstanceType::Integer => "integer",
        InstanceType::Number => "number",
        InstanceType::Boolean => "boolean",
        InstanceType::String | InstanceType::Null | InstanceType::Object => "text",
    }
}
