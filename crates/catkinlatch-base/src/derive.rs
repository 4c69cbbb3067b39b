//! Macros that apply the standard sets of derives.

/// Derives `Clone`, `Debug`, `PartialEq` and serialization for a plain value.
#[macro_export]
macro_rules! derive_value {
    ($($item:tt)*) => {
        #[derive(
            Clone, Debug, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize,
        )]
        $($item)*
    };
}

/// Derives the traits of [`derive_value!`](crate::derive_value) and a JSON schema, for a type of a
/// public HTTP API.
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

/// Derives the traits of [`derive_schema!`](crate::derive_schema), total ordering and hashing, for
/// a key of ordered and hashed collections.
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
