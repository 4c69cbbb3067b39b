//! Macros that give a type one of the project's usual sets of derives.

/// Derives the set for a plain value: clone, debug, equality and serialization.
#[macro_export]
macro_rules! derive_value {
    ($($item:tt)*) => {
        #[derive(
            Clone, Debug, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize,
        )]
        $($item)*
    };
}

/// Derives the set for a value that is also part of a public HTTP interface.
#[macro_export]
macro_rules! derive_schema {
    ($($item:tt)*) => {
        #[derive(
            Clone,
            Debug,
            PartialEq,
            $crate::serde::Serialize,
            $crate::serde::Deserialize,
            schemars::JsonSchema,
        )]
        $($item)*
    };
}

/// Derives the set for a small value that serves as a key in ordered and hashed collections.
#[macro_export]
macro_rules! derive_key {
    ($($item:tt)*) => {
        #[derive(
            Clone,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            $crate::serde::Serialize,
            $crate::serde::Deserialize,
            schemars::JsonSchema,
        )]
        $($item)*
    };
}
