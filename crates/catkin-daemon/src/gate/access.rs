//! Authentication of callers and operators, and their permissions.

use super::Failure;
use catkin_schema::settings::{Access, Role};
use catkin_types::Code;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// An authenticated caller or operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The name of the token, as the settings have it.
    pub name: String,
    /// Whether the token has the operator role.
    pub operator: bool,
    /// The borrower whose work the caller may see. Empty for an operator, who may see all.
    pub borrower: String,
}

impl Caller {
    /// Returns whether the caller may see and change work of the borrower.
    pub(crate) fn may_see(&self, borrower: &str) -> bool {
        self.operator || self.borrower == borrower
    }

    pub(crate) fn require_operator(&self) -> Result<(), Failure> {
        if self.operator { Ok(()) } else { Err(Failure::from_code(Code::FORBIDDEN)) }
    }
}

/// Returns the SHA-256 digest of `bytes` as 64 hexadecimal digits.
#[must_use]
pub fn sha256_hex(bytes: &[u8]) -> String {
    let hash = Sha256::digest(bytes);
    hash.iter().fold(String::with_capacity(64), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// Finds the caller by its bearer token. Compares with every configured token, each in constant time, so that the
/// response time reveals nothing about the tokens.
pub(super) fn authenticate(access: &Access, headers: &HeaderMap) -> Result<Caller, Failure> {
    if access.open {
        return Ok(Caller { name: "anyone".into(), operator: true, borrower: String::new() });
    }
    let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = given.and_then(|v| v.strip_prefix("Bearer "));
    let Some(token) = token else { return Err(Failure::from_code(Code::UNAUTHENTICATED)) };
    let hash = sha256_hex(token.as_bytes());
    let mut found = None;
    for t in &access.tokens {
        let same: bool = hash.as_bytes().ct_eq(t.sha256.to_ascii_lowercase().as_bytes()).into();
        if same {
            found = Some(t);
        }
    }
    let t = found.ok_or_else(|| Failure::from_code(Code::UNAUTHENTICATED))?;
    let operator = matches!(t.role, Role::Operator);
    Ok(Caller { name: t.name.clone(), operator, borrower: t.borrower.clone() })
}
