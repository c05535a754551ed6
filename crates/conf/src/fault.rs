//! Mistakes found in a file.

use std::fmt;

/// One mistake.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line, from 1. 0: the mistake is not at one place.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Field, as a path from the top of the file.
    pub field: String,
    /// What was expected, or what is wrong.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.text)
    }
}

/// Every mistake found in one file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// The mistakes, in the order of the file.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.faults.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{fault}", self.file)?;
        }
        Ok(())
    }
}
