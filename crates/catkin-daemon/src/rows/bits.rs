//! A bit set that is serialized as hexadecimal digits.

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::ser::{Serialize, Serializer};
use std::fmt;

/// A set of task indices within a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BitSet {
    bytes: Vec<u8>,
}

impl BitSet {
    /// Returns whether `i` is in the set.
    #[must_use]
    pub fn contains(&self, i: u32) -> bool {
        self.bytes.get(i as usize / 8).is_some_and(|b| b & (1 << (i % 8)) != 0)
    }

    /// Adds `i`. Returns whether it was not in the set before.
    pub fn insert(&mut self, i: u32) -> bool {
        let byte = i as usize / 8;
        if self.bytes.len() <= byte {
            self.bytes.resize(byte + 1, 0);
        }
        let inserted = !self.contains(i);
        self.bytes[byte] |= 1 << (i % 8);
        inserted
    }

    /// Returns the number of elements.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.bytes.iter().map(|b| b.count_ones()).sum()
    }
}

impl Serialize for BitSet {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl fmt::Display for BitSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.bytes.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

struct BitSetVisitor;

impl Visitor<'_> for BitSetVisitor {
    type Value = BitSet;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an even number of hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, s: &str) -> Result<BitSet, E> {
        let invalid = || E::custom("not an even number of hexadecimal digits");
        if !s.len().is_multiple_of(2) || !s.is_ascii() {
            return Err(invalid());
        }
        let byte = |i| u8::from_str_radix(&s[i..i + 2], 16).map_err(|_| invalid());
        let bytes = (0..s.len()).step_by(2).map(byte).collect::<Result<_, _>>()?;
        Ok(BitSet { bytes })
    }
}

impl<'de> Deserialize<'de> for BitSet {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(BitSetVisitor)
    }
}
