//! Reference pages generated from the schema of a type, so that they match the program.

use std::fmt::Write as _;

use schemars::JsonSchema;
use serde_json::{Map, Value};

use crate::findings::SOCKET_ADDRESS_FORMAT;

/// Units of fields by the suffix of their name; `x-unit` in the schema overrides them.
const UNITS_BY_SUFFIX: [(&str, &str); 3] = [("_ms", "ms"), ("_bytes", "bytes"), ("_per_s", "1/s")];

/// Renders the fields of `T` as Markdown: one table per object, with type, unit, default and
/// meaning of each field.
pub fn render_reference<T: JsonSchema>(title: &str, introduction: &str) -> String {
    let schema = schemars::schema_for!(T).to_value();
    let mut page =
        Page { definitions: schema.get("$defs").cloned().unwrap_or_default(), text: String::new() };
    let _ = writeln!(page.text, "# {title}\n\n{introduction}");
    page.write_object("The whole file", "", &schema);
    page.text
}

/// A Markdown page under construction.
struct Page {
    /// The `$defs` of the schema, which its references point to.
    definitions: Value,
    text: String,
}

impl Page {
    /// Appends the table of an object, then those of the objects in its fields.
    fn write_object(&mut self, heading: &str, path: &str, schema: &Value) {
        let _ = write!(
            self.text,
            "\n## {heading}\n\n| field | type | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n"
        );
        let mut nested = Vec::new();
        let required = schema.get("required").and_then(Value::as_array);
        for (name, field) in properties(schema) {
            let is_required =
                required.is_some_and(|names| names.iter().any(|it| it == name.as_str()));
            let resolved = self.resolve(field);
            self.write_row(name, field, &resolved, is_required);
            let child = format!("{path}/{name}");
            let item = resolved.get("items").map(|items| self.resolve(items));
            match item {
                Some(item) if is_object(&item) => nested.push((format!("{child}/*"), item)),
                _ if is_object(&resolved) => nested.push((child, resolved)),
                _ => {}
            }
        }
        for (path, schema) in nested {
            let variants: Vec<Value> =
                schema.get("oneOf").and_then(Value::as_array).cloned().unwrap_or_default();
            if variants.is_empty() {
                self.write_object(&format!("`{path}`"), &path, &schema);
            }
            for variant in variants {
                let kind = variant.pointer("/properties/kind/const").and_then(Value::as_str);
                let heading = format!("`{path}` of kind `{}`", kind.unwrap_or_default());
                self.write_object(&heading, &path, &variant);
            }
        }
    }

    fn write_row(&mut self, name: &str, field: &Value, resolved: &Value, is_required: bool) {
        let default = match field.get("default") {
            Some(Value::Object(fields)) if !fields.is_empty() => "see below".to_owned(),
            Some(Value::Null) => "none".to_owned(),
            Some(value) => format!("`{value}`"),
            None if is_required => "required".to_owned(),
            None => "none".to_owned(),
        };
        let unit = field.get("x-unit").and_then(Value::as_str);
        let unit_by_suffix = UNITS_BY_SUFFIX
            .iter()
            .find(|(suffix, _)| name.ends_with(suffix))
            .map(|(_, unit)| *unit);
        let meaning = field.get("description").or_else(|| resolved.get("description"));
        let meaning = meaning.and_then(Value::as_str).unwrap_or_default().replace('\n', " ");
        let values = self.describe_values(resolved);
        let _ = writeln!(
            self.text,
            "| `{name}` | {} | {} | {default} | {meaning}{values} |",
            self.describe_type(resolved),
            unit.or(unit_by_suffix).unwrap_or("–"),
        );
    }

    /// Returns the definition that a schema refers to, or the schema itself.
    fn resolve(&self, schema: &Value) -> Value {
        let mut schema = schema.clone();
        // schemars writes an optional value as "anyOf: [reference, null]".
        if let Some(first) = schema.pointer("/anyOf/0") {
            schema = first.clone();
        }
        let reference = schema.get("$ref").and_then(Value::as_str);
        let name = reference.and_then(|text| text.strip_prefix("#/$defs/"));
        name.and_then(|name| self.definitions.get(name)).cloned().unwrap_or(schema)
    }

    /// Describes the type of a field with its range, length and pattern.
    fn describe_type(&self, schema: &Value) -> String {
        let name = match schema.get("type") {
            Some(Value::String(name)) => name.clone(),
            Some(Value::Array(names)) => {
                names.iter().find_map(Value::as_str).unwrap_or_default().to_owned()
            }
            _ if schema.get("oneOf").is_some() && !is_object(schema) => "string".to_owned(),
            _ if schema.get("const").is_some() => "string".to_owned(),
            _ => "object".to_owned(),
        };
        let is_address = schema.get("format").is_some_and(|format| format == SOCKET_ADDRESS_FORMAT);
        let address = if is_address { ", IP address and port" } else { "" };
        let range = |low: &str, high: &str, unit: &str| match (schema.get(low), schema.get(high)) {
            (Some(low), Some(high)) => format!(", {low} to {high}{unit}"),
            (Some(low), None) => format!(", at least {low}{unit}"),
            (None, Some(high)) => format!(", at most {high}{unit}"),
            (None, None) => String::new(),
        };
        let numbers = range("minimum", "maximum", "");
        let lengths = range("minLength", "maxLength", " characters");
        let pattern = schema.get("pattern").and_then(Value::as_str);
        let pattern = pattern.map(|text| format!(", matching `{}`", text.replace('|', "\\|")));
        format!("{name}{address}{numbers}{lengths}{}", pattern.unwrap_or_default())
    }

    /// Describes the accepted values of a constant or an enum of strings.
    fn describe_values(&self, schema: &Value) -> String {
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
