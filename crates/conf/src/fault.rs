//! Mistakes in a file, with their positions.

use std::fmt;

/// One mistake in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Line number, starting at 1; 0 if the mistake has no single position.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Path of the field from the top-level object, such as `listen.front`.
    pub field: String,
    /// Description of the mistake or of the expected value.
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

/// All mistakes in one file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Faults {
    /// Name of the file, as in messages.
    pub file: String,
    /// Mistakes in the order of their positions.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{fault}", self.file)?;
        }
        Ok(())
    }
}
