//! Tokens that let a caller resume a stream through another VM.
//!
//! Resuming needs no shared state: the token contains the customer, the stream and the digest of
//! the request, and is authenticated with a key that all VMs share. The caller sends the position,
//! since it knows what it has received. The token does not name the upstream: prefix affinity
//! selects the same one again as long as it accepts work.

use std::fmt::Write as _;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::Digest;
use cranberryvalve_core::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::shared_key::MAC_BYTES;
use crate::shared_key::SharedKey;

/// Length of the message authentication code, in hexadecimal digits.
const MAC_HEX_DIGITS: usize = 2 * MAC_BYTES;

/// Maximum length of a token, in bytes; longer ones are rejected unread.
const MAX_TOKEN_BYTES: usize = 2_048;

/// The content of a resume token.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResumeClaims {
    /// Customer that owns the stream.
    pub customer: CustomerId,
    /// Digest of the body of the original request.
    pub request: Digest,
    /// Identifier of the request that started the stream.
    pub stream: RequestId,
}

impl ResumeClaims {
    /// Encodes the claims as a token that is authenticated with `key`.
    ///
    /// # Panics
    ///
    /// Never: the claims can be represented in JSON.
    pub fn sign(&self, key: &SharedKey) -> String {
        let body = serde_json::to_vec(self).expect("claims hold only JSON-representable fields");
        format!("{}{}", to_hex(&key.mac(&body)), to_hex(&body))
    }

    /// Verifies and decodes a token.
    ///
    /// Returns `None` if it is malformed, too long or not authenticated with `key`.
    pub fn verify(token: &str, key: &SharedKey) -> Option<Self> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let mac = from_hex(token.get(..MAC_HEX_DIGITS)?)?;
        let body = from_hex(token.get(MAC_HEX_DIGITS..)?)?;
        if !key.verify(&body, &mac) {
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
