//! Values of each message and row, with the bytes that a landing wrote for them.
//!
//! `first` holds what exists since the first landing whose bytes are kept, and each other module what
//! one later landing added. The modules compile against the landing that they are named after, which
//! is how its bytes are written: see `docs/design/upgrades.md`.

pub(crate) mod builds;
pub(crate) mod copies;
pub(crate) mod first;
pub(crate) mod origins;
pub(crate) mod usage;

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Decodes bytes, and returns whether that gives the value of a sample.
pub(crate) type Reader = Box<dyn Fn(&[u8]) -> bool>;

/// A value, its encoding by this build, and what this build makes of the encoding by another one.
pub(crate) struct Sample {
    /// Name of the value. Where a message and a row share one, the message is first.
    pub(crate) name: &'static str,
    /// Encoding of the value by this build.
    pub(crate) bytes: Vec<u8>,
    /// The value in readable form.
    pub(crate) text: String,
    /// Decodes bytes, and returns whether that gives the value.
    pub(crate) is_read_from: Reader,
}

/// Returns the sample of a value that VMs send to each other.
pub(crate) fn sent<T>(name: &'static str, value: T) -> Sample
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    Sample {
        name,
        bytes: postcard::to_stdvec(&value).expect("the value can be encoded"),
        text: format!("{value:?}"),
        is_read_from: Box::new(move |bytes| {
            postcard::from_bytes::<T>(bytes).is_ok_and(|it| it == value)
        }),
    }
}

/// Returns the sample of a value that is stored, or read by the command line, as JSON.
pub(crate) fn stored<T>(name: &'static str, value: T) -> Sample
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    Sample {
        name,
        bytes: serde_json::to_vec(&value).expect("the value can be encoded"),
        text: format!("{value:?}"),
        is_read_from: Box::new(move |bytes| {
            serde_json::from_slice::<T>(bytes).is_ok_and(|it| it == value)
        }),
    }
}

/// Returns the sample of a text that is used as it is, such as the key of a row.
pub(crate) fn text(name: &'static str, value: &str) -> Sample {
    let expected = value.as_bytes().to_vec();
    Sample {
        name,
        bytes: expected.clone(),
        text: value.to_owned(),
        is_read_from: Box::new(move |bytes| bytes == expected),
    }
}
