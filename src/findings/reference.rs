//! Reference pages that are made from a schema, so that they cannot differ from the program.

use std::fmt::Write as _;

use schemars::JsonSchema;
use serde_json::{Map, Value};

use crate::findings::SOCKET_ADDRESS_FORMAT;

/// Units by the last part of a field's name.
const UNITS: [(&str, &str); 3] = [("_ms", "ms"), ("_bytes", "bytes"), ("_per_s", "1/s")];

/// Renders the fields of `T` as Markdown: one table an object, with type, unit, default, meaning.
pub fn reference<T: JsonSchema>(title: &str, introduction: &str) -> String {
    let schema = schemars::schema_for!(T).to_value();
    let mut page =
        Page { definitions: schema.get("$defs").cloned().unwrap_or_default(), text: String::new() };
    let _ = writeln!(page.text, "# {title}\n\n{introduction}");
    page.object("The whole file", "", &schema);
    page.text
}

struct Page {
    definitions: Value,
    text: String,
}

impl Page {
    fn object(&mut self, heading: &str, path: &str, schema: &Value) {
        let _ = write!(
            self.text,
            "\n## {heading}\n\n| field | type | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n"
        );
        let mut below = Vec::new();
        let required = schema.get("required").and_then(Value::as_array);
        for (name, field) in properties(schema) {
            let is_required =
                required.is_some_and(|names| names.iter().any(|it| it == name.as_str()));
            let resolved = self.resolve(field);
            self.row(name, field, &resolved, is_required);
            let child = format!("{path}/{name}");
            let item = resolved.get("items").map(|items| self.resolve(items));
            match item {
                Some(item) if is_object(&item) => below.push((format!("{child}/*"), item)),
                _ if is_object(&resolved) => below.push((child, resolved)),
                _ => {}
            }
        }
        for (path, schema) in below {
            let variants: Vec<Value> =
                schema.get("oneOf").and_then(Value::as_array).cloned().unwrap_or_default();
            if variants.is_empty() {
                self.object(&format!("`{path}`"), &path, &schema);
            }
            for variant in variants {
                let kind = variant.pointer("/properties/kind/const").and_then(Value::as_str);
                let heading = format!("`{path}` of kind `{}`", kind.unwrap_or_default());
                self.object(&heading, &path, &variant);
            }
        }
    }

    fn row(&mut self, name: &str, field: &Value, resolved: &Value, is_required: bool) {
        let default = match field.get("default") {
            Some(Value::Object(fields)) if !fields.is_empty() => "see below".to_owned(),
            Some(Value::Null) => "none".to_owned(),
            Some(value) => format!("`{value}`"),
            None if is_required => "required".to_owned(),
            None => "none".to_owned(),
        };
        let unit = field.get("x-unit").and_then(Value::as_str);
        let by_name = UNITS.iter().find(|(end, _)| name.ends_with(end)).map(|(_, unit)| *unit);
        let meaning = field.get("description").or_else(|| resolved.get("description"));
        let meaning = meaning.and_then(Value::as_str).unwrap_or_default().replace('\n', " ");
        let values = self.values(resolved);
        let _ = writeln!(
            self.text,
            "| `{name}` | {} | {} | {default} | {meaning}{values} |",
            self.type_of(resolved),
            unit.or(by_name).unwrap_or("–"),
        );
    }

    fn resolve(&self, schema: &Value) -> Value {
        let mut schema = schema.clone();
        // An optional value is written as "anyOf: [reference, null]".
        if let Some(first) = schema.pointer("/anyOf/0") {
            schema = first.clone();
        }
        let reference = schema.get("$ref").and_then(Value::as_str);
        let name = reference.and_then(|text| text.strip_prefix("#/$defs/"));
        name.and_then(|name| self.definitions.get(name)).cloned().unwrap_or(schema)
    }

    fn type_of(&self, schema: &Value) -> String {
        let name = match schema.get("type") {
            Some(Value::String(name)) => name.clone(),
            Some(Value::Array(names)) => {
                names.iter().find_map(Value::as_str).unwrap_or_default().to_owned()
            }
            _ if schema.get("oneOf").is_some() && !is_object(schema) => "string".to_owned(),
            _ if schema.get("const").is_some() => "string".to_owned(),
            _ => "object".to_owned(),
        };
        let address = schema.get("format").is_some_and(|format| format == SOCKET_ADDRESS_FORMAT);
        let address = if address { ", IP address and port" } else { "" };
        let range = |low: &str, high: &str, what: &str| match (schema.get(low), schema.get(high)) {
            (Some(low), Some(high)) => format!(", {low} to {high}{what}"),
            (Some(low), None) => format!(", at least {low}{what}"),
            (None, Some(high)) => format!(", at most {high}{what}"),
            (None, None) => String::new(),
        };
        let numbers = range("minimum", "maximum", "");
        let lengths = range("minLength", "maxLength", " characters");
        let pattern = schema.get("pattern").and_then(Value::as_str);
        let pattern = pattern.map(|text| format!(", matching `{}`", text.replace('|', "\\|")));
        format!("{name}{address}{numbers}{lengths}{}", pattern.unwrap_or_default())
    }

    fn values(&self, schema: &Value) -> String {
        if let Some(value) = schema.get("const") {
            return format!("Always `{value}`.");
        }
        let variants = schema.get("oneOf").and_then(Value::as_array);
        let named = variants.into_iter().flatten().filter_map(|variant| {
            let value = variant.get("const")?;
            let meaning = variant.get("description").and_then(Value::as_str)?;
            Some(format!(" `{value}`: {meaning}"))
        });
        named.collect()
    }
}

fn properties(schema: &Value) -> impl Iterator<Item = (&String, &Value)> {
    schema.get("properties").and_then(Value::as_object).into_iter().flat_map(Map::iter)
}

fn is_object(schema: &Value) -> bool {
    let has_variants = schema.pointer("/oneOf/0/properties").is_some();
    schema.get("properties").is_some() || has_variants
}
