//! Tokens with which a caller continues a stream through another VM.
//!
//! A token needs no shared state: it names the customer, the stream and the digest of the request,
//! and is authenticated with a key that all VMs share. The position comes from the caller, who
//! knows what it has received. The upstream is not named: prefix affinity leads back to it as long
//! as it takes work.

use std::fmt::Write as _;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;
use cranberryvalve_core::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::shared_key::CODE_BYTES;
use crate::shared_key::SharedKey;

/// Length of the authentication code in hexadecimal digits.
const CODE_HEX_LEN: usize = 2 * CODE_BYTES;

/// Longest token that is looked at, in bytes.
const MAX_TOKEN_BYTES: usize = 2_048;

/// What a resume token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeClaims {
    /// Customer whose stream it is.
    pub customer: CustomerId,
    /// Digest of the request's body.
    pub request: Digest,
    /// Identifier of the stream.
    pub stream: RequestId,
}

impl ResumeClaims {
    /// Writes a token.
    ///
    /// # Panics
    ///
    /// Never: the claims can be represented in JSON.
    pub fn seal(&self, key: &SharedKey) -> String {
        let body = serde_json::to_vec(self).expect("claims hold only JSON-representable fields");
        format!("{}{}", to_hex(&key.code(&body)), to_hex(&body))
    }

    /// Reads a token; none when it is malformed or was not written with `key`.
    pub fn open(token: &str, key: &SharedKey) -> Option<Self> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let code = from_hex(token.get(..CODE_HEX_LEN)?)?;
        let body = from_hex(token.get(CODE_HEX_LEN..)?)?;
        if !key.verifies(&body, &code) {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let mut hex = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
    }
    hex
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..hex.len()).step_by(2).map(|start| &hex[start..start + 2]);
    pairs.map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
