/*!
Open flows to targets in a partitioned availability zone.

The load that this answers is the requests on lasting flows while a zone is partitioned. A
flow is bound to its target, so its requests would wait for the whole timeout of their class,
although other zones have room. A flow whose requests are idempotent is reset instead, and its
client opens another one at once.

A reset must not hit a flow whose target can still be reached, as that would break a
connection without need. So silence of the zone's instances alone is not enough, as all of
them may have failed while their targets run. Two more signs are required: clients
repeat requests to several of the zone's targets, and none of them has answered a request
that started since the zone's instances are silent.

An answer counts by the start of its request, as the client may acknowledge it much later.

# Example

```
use ragwortlb::{relay::partition::Partitions, time::Time};

let silent_since = Time(1_000);
let mut partitions = Partitions::default();
partitions.record_repeated("pa", 1, silent_since);
assert!(!partitions.is_cut("pa", silent_since), "one target may have failed alone");
partitions.record_repeated("pa", 2, silent_since);
assert!(partitions.is_cut("pa", silent_since));
partitions.record_answer("pa", Time(1_100));
assert!(!partitions.is_cut("pa", silent_since));
```
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::time::Time;

/// Targets of a zone that have to leave repeated requests unanswered.
const MIN_TARGETS: usize = 2;

/// Time after the start of a request from which on its packet is a retransmission of the client,
/// in milliseconds. Clients retransmit after 200 ms.
pub const RETRANSMIT_MS: u64 = 150;

/// Signs of one zone.
#[derive(Clone, Debug, Default)]
struct Signs {
    /// Latest start of a request that was answered.
    answered: Time,
    /// Since when the zone's instances are silent, for the targets below.
    silent_since: Time,
    /// Targets with repeated requests that started since then.
    repeated: BTreeSet<usize>,
}

/// Signs that zones are partitioned, by zone.
#[derive(Clone, Debug, Default)]
pub struct Partitions {
    zones: BTreeMap<Arc<str>, Signs>,
}

impl Partitions {
    /// Records that a target of a zone answered a request that started at a time.
    pub fn record_answer(&mut self, zone: &str, started: Time) {
        match self.zones.get_mut(zone) {
            Some(signs) => signs.answered = signs.answered.max(started),
            None => {
                self.zones.insert(zone.into(), Signs { answered: started, ..Signs::default() });
            }
        }
    }

    /// Records that a client repeated a request to a target of a zone whose instances are
    /// silent.
    pub fn record_repeated(&mut self, zone: &str, target: usize, silent_since: Time) {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.into(), Signs::default());
        }
        let Some(signs) = self.zones.get_mut(zone) else {
            return;
        };
        if signs.silent_since != silent_since {
            signs.silent_since = silent_since;
            signs.repeated.clear();
        }
        signs.repeated.insert(target);
    }

    /// Whether the targets of a zone cannot be reached whose instances are silent.
    pub fn is_cut(&self, zone: &str, silent_since: Time) -> bool {
        self.zones.get(zone).is_some_and(|signs| {
            signs.silent_since == silent_since
                && signs.repeated.len() >= MIN_TARGETS
                && signs.answered < silent_since
        })
    }

    /// Forgets all signs, as after a pause of the process.
    pub fn clear(&mut self) {
        self.zones.clear();
    }
}
