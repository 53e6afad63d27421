/*!
Evacuated availability zones: their targets get no new flows.

The load that this answers is the flows of a whole zone that move to the other zones
within seconds. The targets of evacuated zones leave the lists that the cells divide
among themselves, so the moved flows spread evenly over what is left. What does not fit
there is refused by [`super::placement`], the least urgent first.

Operators evacuate a zone with a key in the platform's store and remove the key to end
it. Few zones exist, so every update and snapshot carries all evacuations: a lost update is
corrected by the next one, and completeness up to a revision plays no part.

A store that returns from a backup may have lost the key, or show one again that was
removed. Neither counts until operators have had the time to repeat what was lost: see
[`Evacuations::listed`] and [`Evacuations::settle`].

# Example

```
use ragwortlb::relay::{evacuation::{Evacuation, Evacuations}, revision::Revision};

let mut evacuations = Evacuations::default();
let start = Evacuation::started("pa".into(), Revision::from(7));
assert!(evacuations.apply(start));
assert!(evacuations.contains("pa"));
assert!(evacuations.apply(evacuations.ended("pa", Revision::from(9)).unwrap()));
assert!(!evacuations.contains("pa"));
```
*/

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::revision::Revision;

/// Most zones that are kept, so that a list fits into a datagram. Zones that are not
/// evacuated any more make room for others.
const MAX_ZONES: usize = 32;

/// Longest name of a zone, in bytes.
const MAX_ZONE_BYTES: usize = 200;

/// Time for which an evacuation stays in effect whose key is lost with a backup of the
/// store, and one out of effect whose removal is lost, in milliseconds: longer than operators
/// take to repeat them.
pub const REWRITE_MS: u64 = 10_000;

/// Whether a zone is evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Evacuation {
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether it is evacuated; otherwise the evacuation has ended, or is held.
    pub is_active: bool,
    /// Whether it was held and then started.
    pub is_settled: bool,
    /// Store revision at which the key was written.
    pub written: Revision,
    /// Store revision of this state.
    pub revision: Revision,
}

impl Evacuation {
    /// Evacuation whose key was written at a revision.
    pub fn started(zone: Arc<str>, revision: Revision) -> Evacuation {
        Evacuation { zone, is_active: true, is_settled: false, written: revision, revision }
    }

    /// Whether this state replaces another one of the same zone. At one revision an
    /// evacuation that has ended or is held is the later state, and one that was held before
    /// it started the last.
    fn replaces(&self, known: &Evacuation) -> bool {
        let order = |state: &Evacuation| (state.revision, state.is_settled, !state.is_active);
        order(self) > order(known)
    }

    /// Whether its key exists but does not count, as its removal was known before a restore.
    /// An end that was read has a later revision than the key.
    fn is_held(&self) -> bool {
        !self.is_active && self.revision == self.written
    }
}

/// Evacuations by availability zone.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Arc<str>, Evacuation>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|evacuation| evacuation.is_active)
    }

    /// Whether any zone is evacuated.
    pub fn any(&self) -> bool {
        self.iter().any(|evacuation| evacuation.is_active)
    }

    /// All evacuations, also those that have ended.
    pub fn iter(&self) -> impl Iterator<Item = &Evacuation> {
        self.zones.values()
    }

    /// Applies a state if it is later than the known one; returns whether the zone became
    /// evacuated or ceased to be.
    pub fn apply(&mut self, evacuation: Evacuation) -> bool {
        if evacuation.zone.is_empty() || evacuation.zone.len() > MAX_ZONE_BYTES {
            return false;
        }
        if self.zones.get(&evacuation.zone).is_some_and(|known| !evacuation.replaces(known)) {
            return false;
        }
        let was_active = self.contains(&evacuation.zone);
        let is_changed = was_active != evacuation.is_active;
        self.zones.insert(evacuation.zone.clone(), evacuation);
        self.limit();
        is_changed
    }

    /// State that follows from a key in a list of all keys, or from a peer that has read one.
    ///
    /// A key of a later era with the number of a known write is taken for that write, restored
    /// from a backup. If its removal is known, it is held: the zone stays in use until
    /// [`settle`](Self::settle). It may also be another write that was given the same number.
    pub fn listed(&self, evacuation: Evacuation) -> Evacuation {
        match self.zones.get(&evacuation.zone) {
            Some(known)
                if evacuation.revision.era > known.revision.era
                    && evacuation.written.number == known.written.number =>
            {
                Evacuation { is_active: evacuation.is_active && known.is_active, ..evacuation }
            }
            _ => evacuation,
        }
    }

    /// End of a zone's evacuation at a revision; none if it is neither evacuated nor held.
    pub fn ended(&self, zone: &str, revision: Revision) -> Option<Evacuation> {
        let evacuation = self.zones.get(zone).filter(|known| known.is_active || known.is_held())?;
        Some(Evacuation { is_active: false, is_settled: false, revision, ..evacuation.clone() })
    }

    /// Ends of the evacuations that a peer lists neither as active nor as held, although it knows
    /// all that was read up to a revision of their era.
    pub fn absent(&self, listed: &[Evacuation], revision: Revision) -> Vec<Evacuation> {
        let is_listed = |zone: &str| {
            let mut found = listed.iter().filter(|known| &*known.zone == zone);
            found.any(|known| (known.is_active || known.is_held()) && known.revision.era == revision.era)
        };
        let is_ended = |known: &&Evacuation| {
            known.revision.era == revision.era && known.revision <= revision && !is_listed(&known.zone)
        };
        self.iter().filter(is_ended).filter_map(|known| self.ended(&known.zone, revision)).collect()
    }

    /// Ends of the evacuations that a read of all keys at a revision does not list. Those of
    /// an earlier era are kept: their keys may be lost with a backup.
    pub fn unlisted(&self, listed: &[Arc<str>], revision: Revision) -> Vec<Evacuation> {
        let is_removed = |evacuation: &&Evacuation| {
            evacuation.revision.era == revision.era
                && evacuation.revision < revision
                && !listed.contains(&evacuation.zone)
        };
        self.iter().filter(is_removed).filter_map(|known| self.ended(&known.zone, revision)).collect()
    }

    /// Ends evacuations of eras before the given one, as their keys were not written again, and
    /// starts those of the era that are held, as their keys were not removed again. Returns what
    /// changed. To be called [`REWRITE_MS`] after the era began.
    pub fn settle(&mut self, era: u32) -> Vec<Evacuation> {
        let mut changed = Vec::new();
        for evacuation in self.zones.values_mut() {
            if evacuation.is_active && evacuation.revision.era < era {
                evacuation.is_active = false;
            } else if evacuation.is_held() && evacuation.revision.era == era {
                (evacuation.is_active, evacuation.is_settled) = (true, true);
            } else {
                continue;
            }
            changed.push(evacuation.clone());
        }
        changed
    }

    /// Removes the oldest ended evacuations beyond [`MAX_ZONES`], and active ones only if
    /// there is no other.
    fn limit(&mut self) {
        while self.zones.len() > MAX_ZONES {
            let oldest = self.zones.values().min_by_key(|known| (known.is_active, known.revision));
            let Some(zone) = oldest.map(|known| known.zone.clone()) else {
                return;
            };
            self.zones.remove(&zone);
        }
    }
}
