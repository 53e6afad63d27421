/*!
Open flows to targets in a zone that is cut off.

The load that this answers is the requests on lasting flows while an availability zone is
partitioned. A flow is bound to its target, so each of its requests would wait for the whole
timeout of its class, although other targets have room. A flow whose requests are idempotent is
reset instead, and its client opens another one at once.

A reset must not hit a flow whose target can be reached, as that would break a connection without
need. A zone is *cut off* if its instances are silent, those of another zone are not, clients repeat
requests to two of its targets, and none of its targets has answered a request that started since
then. Silence alone would not do, as all instances of a zone may have failed while its targets run.
If all other zones are silent, this instance may be overloaded or cut off itself. Repeated requests
alone would not do: in a flood clients repeat requests that are answered.

An answer counts by the start of its request, as the client may acknowledge it much later. A
repetition counts for the time at which it arrives here: if a flow moves to another instance,
this one does not see the answer, but no repetition either.

# Example

```
use std::net::{Ipv4Addr, SocketAddrV4};
use ragwortlb::{relay::{flows::FlowKey, stall::Stalls}, time::Time};

let flow = |port| {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port);
    FlowKey::of(client, SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443))
};
let silent_since = Time(900);
let mut stalls = Stalls::default();
stalls.record_repeated(3, flow(1), Time(1_000), Time(1_600));
assert!(!stalls.is_cut_off(0..9, silent_since, Time(1_600)), "one target may have failed alone");
stalls.record_repeated(4, flow(2), Time(1_010), Time(1_610));
assert!(stalls.is_cut_off(0..9, silent_since, Time(1_610)));
stalls.record_answer(5, Time(1_020));
assert!(!stalls.is_cut_off(0..9, silent_since, Time(1_620)), "a target answers");
```
*/

use super::flows::FlowKey;
use crate::time::Time;

/// Time after the start of a request from which on its packet is a retransmission of the client,
/// in milliseconds. Clients retransmit after 200 ms, 600 ms and 1,400 ms.
pub const RETRANSMIT_MS: u64 = 150;

/// Time without an answer that is a sign that a silent zone is cut off, in milliseconds: the
/// client's second retransmission, with a margin.
const MIN_CUT_OFF_MS: u64 = 550;

/// Time from the last message of a zone's instances within which the zone may still be reachable,
/// in milliseconds: an interval of reports.
const LAST_MESSAGE_MS: u64 = 100;

/// Targets of a silent zone with repeated requests that show that the zone is cut off.
const CUT_OFF_TARGETS: usize = 2;

/// Time for which a repetition counts, in milliseconds: until the client's next one.
const REPETITION_VALID_MS: u64 = 2_000;

/// Repeated requests that are kept for each target.
const MAX_REPEATED: usize = 4;

/// Request that a client has repeated.
#[derive(Clone, Copy, Debug)]
struct Repeated {
    flow: FlowKey,
    started: Time,
    /// When the last repetition arrived.
    repeated: Time,
}

impl Repeated {
    fn is_valid(&self, now: Time) -> bool {
        now.since(self.repeated) < REPETITION_VALID_MS
    }
}

/// Signs of one target.
#[derive(Clone, Debug, Default)]
struct Signs {
    /// Latest start of a request that was answered.
    answered: Time,
    /// Unanswered requests that started later.
    repeated: Vec<Repeated>,
}

/// Signs that targets no longer answer, by target.
#[derive(Clone, Debug, Default)]
pub struct Stalls {
    table: Vec<Signs>,
}

impl Stalls {
    fn signs(&mut self, target: usize) -> &mut Signs {
        if self.table.len() <= target {
            self.table.resize(target + 1, Signs::default());
        }
        &mut self.table[target]
    }

    /// Records that a target answered a request that started at a time.
    pub fn record_answer(&mut self, target: usize, started: Time) {
        let signs = self.signs(target);
        signs.answered = signs.answered.max(started);
        signs.repeated.retain(|request| request.started > started);
    }

    /// Records that a client repeats the request of a flow that started at a time.
    pub fn record_repeated(&mut self, target: usize, flow: FlowKey, started: Time, now: Time) {
        let signs = self.signs(target);
        if started <= signs.answered {
            return;
        }
        signs.repeated.retain(|request| request.flow != flow && request.is_valid(now));
        if signs.repeated.len() == MAX_REPEATED {
            signs.repeated.remove(0);
        }
        signs.repeated.push(Repeated { flow, started, repeated: now });
    }

    /// Whether a zone with these targets, whose instances are silent, cannot be reached.
    pub fn is_cut_off(&self, targets: impl Iterator<Item = usize>, silent_since: Time, now: Time) -> bool {
        let mut unanswered = 0;
        for signs in targets.filter_map(|target| self.table.get(target)) {
            if signs.answered >= silent_since + LAST_MESSAGE_MS {
                return false;
            }
            let is_sign = |request: &Repeated| {
                request.is_valid(now) && request.repeated.since(request.started) >= MIN_CUT_OFF_MS
            };
            unanswered += usize::from(signs.repeated.iter().any(is_sign));
        }
        unanswered >= CUT_OFF_TARGETS
    }

    /// Forgets the signs of a target, as a new incarnation has started.
    pub fn reset(&mut self, target: usize) {
        *self.signs(target) = Signs::default();
    }

    /// Forgets all signs, as after a pause of the process.
    pub fn clear(&mut self) {
        self.table.clear();
    }
}
