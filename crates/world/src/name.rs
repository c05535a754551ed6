//! Names: shared immutable strings, cheap to clone, checked when made.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::kind::{Error, Kind};

/// Longest name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(Error::new(
            Kind::BadRequest,
            format!("name {text:?} must have 1 to {NAME_MAX_BYTES} bytes"),
        ));
    }
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if text.bytes().all(fits) {
        return Ok(());
    }
    Err(Error::new(
        Kind::BadRequest,
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
            /// Checks `text` and shares it.
            ///
            /// # Errors
            /// [`Kind::BadRequest`] when the text is empty, too long or holds
            /// a character outside `[A-Za-z0-9._-]`.
            pub fn new(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
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
    /// Chosen by an operator for one change, so that a resend is recognised.
    ChangeId;
    /// A customer whose traffic is steered.
    CustomerName;
    /// A failure domain within a region.
    DomainName;
    /// A host that callers name in their requests.
    HostName;
    /// A VM of the system: entry or control.
    MachineName;
    /// A plan that customers are on.
    PlanName;
    /// A region.
    RegionName;
    /// A route of requests to services.
    RouteName;
    /// A backend server.
    ServerName;
    /// A service that backend servers offer.
    ServiceName;
}
