//! Names: shared immutable strings that are validated on construction and cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::kind::{Error, ErrorKind};

/// Maximum length of a name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

fn validate(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(Error::new(
            ErrorKind::BadRequest,
            format!("name {text:?} must have 1 to {NAME_MAX_BYTES} bytes"),
        ));
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if text.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::BadRequest,
        format!("name {text:?} may hold only letters, digits, '-', '_' and '.'"),
    ))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            /// [`ErrorKind::BadRequest`] if the text is empty, longer than
            /// [`NAME_MAX_BYTES`] or has a character outside `[A-Za-z0-9._-]`.
            pub fn new(text: &str) -> Result<Self, Error> {
                validate(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> String {
                stringify!($name).into()
            }

            fn json_schema(generator: &mut schemars::r#gen::SchemaGenerator) -> schemars::schema::Schema {
                String::json_schema(generator)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    )+};
}

names! {
    /// Id that an operator chooses for a change, by which a resent change is recognised.
    ChangeId;
    /// Name of a customer.
    CustomerName;
    /// Name of a failure domain within a region.
    DomainName;
    /// Host name in a client's request.
    HostName;
    /// Name of an entry VM or control VM; operators have names of this type too.
    MachineName;
    /// Name of a plan.
    PlanName;
    /// Name of a region.
    RegionName;
    /// Name of a route from host and path to services.
    RouteName;
    /// Name of a backend server.
    ServerName;
    /// Name of a service that backend servers provide.
    ServiceName;
}
