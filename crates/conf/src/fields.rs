//! Parser of the fields of one JSON object, which collects mistakes instead of stopping at
//! the first.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

use crate::fault::Fault;
use crate::parse::line_and_column;

/// Fields of one object. A field that the parser never looks up by name is reported as unknown.
pub struct Fields<'a> {
    text: &'a str,
    object: &'a Object<'a>,
    path: String,
    known_names: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Creates a parser for the fields of `object`, whose path in the file is `path`.
    pub(crate) fn new(
        text: &'a str,
        object: &'a Object<'a>,
        path: String,
        faults: &'a mut Vec<Fault>,
    ) -> Self {
        Self {
            text,
            object,
            path,
            known_names: Vec::new(),
            faults,
        }
    }

    /// Parses a mandatory field; returns `None` after reporting a mistake.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Option<T> {
        let Some(prop) = self.find(name) else {
            self.report_missing(name, expected);
            return None;
        };
        self.deserialize(prop, name, expected)
    }

    /// Parses an optional field; returns `None` if it is absent or invalid.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Option<T> {
        let prop = self.find(name)?;
        self.deserialize(prop, name, expected)
    }

    /// Parses an optional number from `min` to `max`; returns `default` if it is absent or
    /// invalid.
    pub fn number_in_range(&mut self, name: &'static str, default: u64, min: u64, max: u64) -> u64 {
        let expected = format!("a whole number from {min} to {max}");
        let value = self.optional(name, &expected).unwrap_or(default);
        if (min..=max).contains(&value) {
            return value;
        }
        self.report(name, format!("expected {expected}, found {value}"));
        default
    }

    /// Parses a mandatory object field; returns `None` after reporting a mistake.
    pub fn required_object<T>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(prop) = self.find(name) else {
            self.report_missing(name, "an object");
            return None;
        };
        self.parse_object(&prop.value, self.field_path(name), parse)
    }

    /// Parses an optional object field; returns `None` if it is absent or invalid.
    pub fn optional_object<T>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let prop = self.find(name)?;
        self.parse_object(&prop.value, self.field_path(name), parse)
    }

    /// Parses an optional list of objects; returns an empty list if the field is absent.
    pub fn object_list<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&mut Fields<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(prop) = self.find(name) else {
            return Vec::new();
        };
        let Value::Array(array) = &prop.value else {
            self.report(name, "expected a list of objects".into());
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.field_path(name));
            items.extend(self.parse_object(value, path, &parse));
        }
        items
    }

    /// Whether the object has a field with this name.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// Reports a mistake at a field, or at the object if the field is absent.
    pub fn report(&mut self, name: &str, text: String) {
        let offset = self.object.get(name).map_or_else(
            || self.object.range().start,
            |prop| prop.value.range().start,
        );
        let field = self.field_path(name);
        self.add_fault(offset, field, text);
    }

    /// Reports unknown and duplicate fields.
    pub(crate) fn finish(mut self) {
        let mut seen: Vec<&str> = Vec::new();
        let object = self.object;
        for prop in &object.properties {
            let name = prop.name.as_str();
            let offset = prop.range().start;
            if !self.known_names.contains(&name) {
                let text = format!("unknown field; known are {}", self.known_names.join(", "));
                self.add_fault(offset, self.field_path(name), text);
            } else if seen.contains(&name) {
                self.add_fault(offset, self.field_path(name), "stands twice".into());
            }
            seen.push(name);
        }
    }

    /// Finds a field and marks its name as known.
    fn find(&mut self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        self.known_names.push(name);
        self.object.get(name)
    }

    fn deserialize<T: DeserializeOwned>(
        &mut self,
        prop: &ObjectProp<'_>,
        name: &'static str,
        expected: &str,
    ) -> Option<T> {
        let json: serde_json::Value = prop.value.clone().into();
        match serde_json::from_value(json) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(name, format!("expected {expected}: {error}"));
                None
            }
        }
    }

    fn parse_object<T>(
        &mut self,
        value: &Value<'_>,
        path: String,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(object) = value else {
            self.add_fault(value.range().start, path, "expected an object".into());
            return None;
        };
        let mut fields = Fields::new(self.text, object, path, self.faults);
        let value = parse(&mut fields);
        fields.finish();
        value
    }

    fn report_missing(&mut self, name: &'static str, expected: &str) {
        let offset = self.object.range().start;
        let field = self.field_path(name);
        self.add_fault(offset, field, format!("missing; expected {expected}"));
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.into();
        }
        format!("{}.{name}", self.path)
    }

    fn add_fault(&mut self, offset_bytes: usize, field: String, text: String) {
        let (line, column) = line_and_column(self.text, offset_bytes);
        self.faults.push(Fault {
            line,
            column,
            field,
            text,
        });
    }
}
