//! Reading of one object's fields, collecting mistakes instead of stopping.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

use crate::fault::Fault;
use crate::source::place_of;

/// The fields of one object, each to be asked for by name.
pub struct Fields<'a> {
    text: &'a str,
    object: &'a Object<'a>,
    path: String,
    asked: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// The fields of `object`, which stands at `path`.
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
            asked: Vec::new(),
            faults,
        }
    }

    /// A field that must be there.
    pub fn need<T: DeserializeOwned>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let Some(prop) = self.prop(name) else {
            self.missing(name, expected);
            return None;
        };
        self.read(prop, name, expected)
    }

    /// A field that may be left out.
    pub fn may<T: DeserializeOwned>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let prop = self.prop(name)?;
        self.read(prop, name, expected)
    }

    /// A number that may be left out, within bounds.
    pub fn bounded(&mut self, name: &'static str, default: u64, from: u64, to: u64) -> u64 {
        let expected = format!("a whole number from {from} to {to}");
        let value = self.may(name, &expected).unwrap_or(default);
        if (from..=to).contains(&value) {
            return value;
        }
        self.wrong(name, format!("expected {expected}, found {value}"));
        default
    }

    /// An object that must be there.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(prop) = self.prop(name) else {
            self.missing(name, "an object");
            return None;
        };
        self.nested(&prop.value, self.path_of(name), parse)
    }

    /// An object that may be left out.
    pub fn may_object<T>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let prop = self.prop(name)?;
        self.nested(&prop.value, self.path_of(name), parse)
    }

    /// A list of objects; an absent list is empty.
    pub fn list<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&mut Fields<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(prop) = self.prop(name) else {
            return Vec::new();
        };
        let Value::Array(array) = &prop.value else {
            self.wrong(name, "expected a list of objects".into());
            return Vec::new();
        };
        let mut items = Vec::new();
        for (at, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{at}]", self.path_of(name));
            items.extend(self.nested(value, path, &parse));
        }
        items
    }

    /// Whether the object has a field of this name.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// Notes a mistake at a field.
    pub fn wrong(&mut self, name: &str, text: String) {
        let offset = self.object.get(name).map_or_else(
            || self.object.range().start,
            |prop| prop.value.range().start,
        );
        let field = self.path_of(name);
        self.fault_at(offset, field, text);
    }

    /// Notes fields that nobody asked for, and fields that stand twice.
    pub(crate) fn end(mut self) {
        let mut seen: Vec<&str> = Vec::new();
        let object = self.object;
        for prop in &object.properties {
            let name = prop.name.as_str();
            let offset = prop.range().start;
            if !self.asked.contains(&name) {
                let text = format!("unknown field; known are {}", self.asked.join(", "));
                self.fault_at(offset, self.path_of(name), text);
            } else if seen.contains(&name) {
                self.fault_at(offset, self.path_of(name), "stands twice".into());
            }
            seen.push(name);
        }
    }

    fn prop(&mut self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        self.asked.push(name);
        self.object.get(name)
    }

    fn read<T: DeserializeOwned>(
        &mut self,
        prop: &ObjectProp<'_>,
        name: &'static str,
        expected: &str,
    ) -> Option<T> {
        let json: serde_json::Value = prop.value.clone().into();
        match serde_json::from_value(json) {
            Ok(value) => Some(value),
            Err(error) => {
                self.wrong(name, format!("expected {expected}: {error}"));
                None
            }
        }
    }

    fn nested<T>(
        &mut self,
        value: &Value<'_>,
        path: String,
        parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(object) = value else {
            self.fault_at(value.range().start, path, "expected an object".into());
            return None;
        };
        let mut fields = Fields::new(self.text, object, path, self.faults);
        let value = parse(&mut fields);
        fields.end();
        value
    }

    fn missing(&mut self, name: &'static str, expected: &str) {
        let offset = self.object.range().start;
        let field = self.path_of(name);
        self.fault_at(offset, field, format!("missing; expected {expected}"));
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.into();
        }
        format!("{}.{name}", self.path)
    }

    fn fault_at(&mut self, offset_bytes: usize, field: String, text: String) {
        let (line, column) = place_of(self.text, offset_bytes);
        self.faults.push(Fault {
            line,
            column,
            field,
            text,
        });
    }
}
