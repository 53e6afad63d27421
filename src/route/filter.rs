/*!
Bloom filters of flows, small enough to send to every instance.

A filter has no false negatives. Its length is a power of two, so filters of
different lengths can be merged without agreeing on a length: the shorter one is
repeated up to the longer length, which keeps every member. An exact set takes
eight bytes for each flow; a filter takes 1.5 bytes, and less than three after its
length is rounded up.
*/

use serde::{Deserialize, Serialize};

use super::table::{SLOTS, Table};
use crate::{Error, hash};

/// Bits for each flow, before rounding up to a power of two.
const BITS_PER_FLOW: usize = 12;

/// Hash functions of the filter: bits that each flow sets.
const HASH_FUNCTIONS: u64 = 7;

/// Bits in a word.
const WORD_BITS: usize = 64;

/// Longest filter accepted from a peer, in words (1 MB).
pub const MAX_WORDS: usize = 1 << 17;

/// Bloom filter of flows: contains all its members and possibly other flows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "Vec<u64>", into = "Vec<u64>")]
pub struct Filter {
    words: Vec<u64>,
}

impl Filter {
    /// Builds a filter of the given flows.
    pub fn of(flows: &[u64]) -> Filter {
        if flows.is_empty() {
            return Filter::default();
        }
        let words = (flows.len() * BITS_PER_FLOW).div_ceil(WORD_BITS).next_power_of_two();
        let mut filter = Filter { words: vec![0; words.min(MAX_WORDS)] };
        for flow in flows {
            filter.insert(*flow);
        }
        filter
    }

    /// Reports whether the flow may be a member.
    pub fn contains(&self, flow: u64) -> bool {
        !self.words.is_empty()
            && self.bits(flow).all(|bit| self.words[bit / WORD_BITS] & (1 << (bit % WORD_BITS)) != 0)
    }

    /// Adds all members of another filter.
    pub fn merge(&mut self, other: &Filter) {
        if other.words.is_empty() {
            return;
        }
        if self.words.len() < other.words.len() {
            self.grow(other.words.len());
        }
        let mask = other.words.len() - 1;
        for (i, word) in self.words.iter_mut().enumerate() {
            *word |= other.words[i & mask];
        }
    }

    /// Reports whether the filter has no member.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Size in bytes.
    pub fn bytes(&self) -> usize {
        self.words.len() * size_of::<u64>()
    }

    fn insert(&mut self, flow: u64) {
        let bits: Vec<usize> = self.bits(flow).collect();
        for bit in bits {
            self.words[bit / WORD_BITS] |= 1 << (bit % WORD_BITS);
        }
    }

    /// Repeats the words up to a greater power of two.
    fn grow(&mut self, len: usize) {
        if self.words.is_empty() {
            self.words.resize(len, 0);
        }
        while self.words.len() < len {
            self.words.extend_from_within(..);
        }
    }

    fn bits(&self, flow: u64) -> impl Iterator<Item = usize> + use<> {
        let mask = (self.words.len() * WORD_BITS - 1) as u64;
        let start = hash::pair(flow, 1);
        let step = hash::pair(flow, 2) | 1;
        (0..HASH_FUNCTIONS).map(move |i| (start.wrapping_add(i.wrapping_mul(step)) & mask) as usize)
    }
}

impl TryFrom<Vec<u64>> for Filter {
    type Error = Error;

    fn try_from(words: Vec<u64>) -> Result<Filter, Error> {
        if !words.is_empty() && (!words.len().is_power_of_two() || words.len() > MAX_WORDS) {
            return Err(Error::new(
                "decode a filter",
                format!("{} words, expected none or a power of two of at most 131072", words.len()),
            ));
        }
        Ok(Filter { words })
    }
}

impl From<Filter> for Vec<u64> {
    fn from(filter: Filter) -> Vec<u64> {
        filter.words
    }
}

/// Set of hash slots of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "Vec<u16>", into = "Vec<u16>")]
pub struct SlotSet {
    words: Vec<u64>,
}

impl SlotSet {
    /// Hash slots of the given flows.
    pub fn of(flows: &[u64]) -> SlotSet {
        SlotSet::from_slots(flows.iter().map(|flow| Table::slot(*flow)))
    }

    /// Set of the given hash slots.
    pub fn from_slots(slots: impl IntoIterator<Item = usize>) -> SlotSet {
        let mut set = SlotSet::default();
        for slot in slots {
            set.insert(slot);
        }
        set
    }

    /// Number of hash slots in the set.
    pub fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Reports whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reports whether a hash slot is in the set.
    pub fn contains(&self, slot: usize) -> bool {
        self.words.get(slot / WORD_BITS).is_some_and(|word| word & (1 << (slot % WORD_BITS)) != 0)
    }

    /// Adds all hash slots of another set.
    pub fn merge(&mut self, other: &SlotSet) {
        self.words.resize(self.words.len().max(other.words.len()), 0);
        for (word, more) in self.words.iter_mut().zip(&other.words) {
            *word |= more;
        }
    }

    fn insert(&mut self, slot: usize) {
        self.words.resize(SLOTS / WORD_BITS, 0);
        self.words[slot / WORD_BITS] |= 1 << (slot % WORD_BITS);
    }
}

impl TryFrom<Vec<u16>> for SlotSet {
    type Error = Error;

    /// Decodes the differences between consecutive slots in ascending order.
    fn try_from(differences: Vec<u16>) -> Result<SlotSet, Error> {
        let mut set = SlotSet::default();
        let mut slot = 0;
        for difference in differences {
            slot += usize::from(difference);
            if slot >= SLOTS {
                return Err(Error::new("decode a set of hash slots", format!("slot {slot} is out of range")));
            }
            set.insert(slot);
        }
        Ok(set)
    }
}

impl From<SlotSet> for Vec<u16> {
    fn from(set: SlotSet) -> Vec<u16> {
        let mut last = 0;
        let present = (0..SLOTS).filter(|slot| set.contains(*slot));
        let difference = |slot: usize| {
            let difference = slot - last;
            last = slot;
            difference as u16
        };
        present.map(difference).collect()
    }
}
