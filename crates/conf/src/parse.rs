//! Entry point of all parsers: parses a file and reports all mistakes in it.

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::fault::{Fault, Faults};
use crate::fields::Fields;

/// Accepted syntax: strict JSON, plus comments and trailing commas.
fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Converts a byte offset to a line number and a column in characters, both starting at 1.
#[must_use]
pub fn line_and_column(text: &str, offset_bytes: usize) -> (usize, usize) {
    let before = &text[..offset_bytes.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

/// Parses a file whose top-level value is an object; `file` is its name in messages.
///
/// # Errors
/// All mistakes in the file, sorted by position.
pub fn parse_file<T>(
    file: &str,
    text: &str,
    parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Result<T, Faults> {
    let mut faults = Vec::new();
    let value = parse_top_object(text, parse, &mut faults);
    match value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => {
            faults.sort_by_key(|f| (f.line, f.column));
            Err(Faults {
                file: file.into(),
                faults,
            })
        }
    }
}

fn parse_top_object<T>(
    text: &str,
    parse: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            faults.push(Fault {
                line: error.line_display(),
                column: error.column_display(),
                field: String::new(),
                text: error.kind().to_string(),
            });
            return None;
        }
    };
    let Some(Value::Object(object)) = &parsed.value else {
        faults.push(Fault {
            line: 1,
            column: 1,
            field: String::new(),
            text: "expected an object".into(),
        });
        return None;
    };
    let mut fields = Fields::new(text, object, String::new(), faults);
    let value = parse(&mut fields);
    fields.finish();
    value
}
