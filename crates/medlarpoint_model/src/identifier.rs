//! Identifiers of VMs, data centres, regions and workspaces.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{InvalidName, Name};

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub Name);

        impl $name {
            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

identifier!(
    /// A virtual machine that runs one target and one daemon.
    Vm
);
identifier!(
    /// A data centre: a failure domain with its own VMs.
    DataCentre
);
identifier!(
    /// A group of data centres connected by fast links.
    Region
);
identifier!(
    /// Name of a workspace: a customer on whose behalf calls are made.
    WorkspaceName
);
