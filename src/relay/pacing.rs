/*!
Pacing of requests on open flows.

The load that this answers is a flood of requests on flows that are already open. Such
a flow is bound to its target and must not be reset, so its requests can be neither
refused nor placed elsewhere. If they were all forwarded, they would fill the queue of
the target, and urgent requests on new flows would find no target in time.

So a request whose target is full waits at the instance, under the same limit as an
opening packet of its class. The most recent request starts first, as it is most likely
to meet its latency objective. Late requests only get slots that would stay free; their
answers are delivered when the flood is over.

Several instances hold requests for the same target. Each takes its share of the spare
capacity that it sees, and a request that ends passes its slot on to the next one at the
same instance, so that one free slot does not attract a request from each instance.

# Example

```
use ragwortlb::relay::pacing::{Pacing, Request};

let mut random = rand::rng();
let mut pacing = Pacing::default();
let request = Request { target: 3, running: 1.0, slots: 2.0, limit: 4.0, class: 1, instances: 7 };
assert!(pacing.admit(&request, &mut random), "a slot is free");
let request = Request { running: 4.0, ..request };
assert!(!pacing.admit(&request, &mut random), "the limit of the class is reached");
```
*/

use std::collections::HashMap;

use rand::Rng;

use super::budget::{Budget, CLASS_COUNT};

/// Request that is about to start on an open flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Target of the flow.
    pub target: usize,
    /// Estimate of the requests that run or wait at the target.
    pub running: f32,
    /// Requests that the target serves concurrently.
    pub slots: f32,
    /// Requests at the target from which on this one has to wait.
    pub limit: f32,
    /// Index of its class (see [`super::budget::class_index`]).
    pub class: usize,
    /// Instances that share the target.
    pub instances: usize,
}

/// Requests of one target in a round.
#[derive(Clone, Debug, Default)]
struct Round {
    /// Requests that had to wait.
    waiting: u32,
    /// Whether requests had to wait in the previous round.
    was_waiting: bool,
    /// Requests of this instance that ended.
    ended: u32,
    /// Requests that may start in place of ones that ended.
    handovers: u32,
    budgets: [Option<Budget>; CLASS_COUNT],
}

/// Targets at which requests of this instance have to wait.
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    rounds: HashMap<usize, Round>,
}

impl Pacing {
    /// Decides whether a request may start now. If not, it has to ask again later.
    pub fn admit(&mut self, request: &Request, random: &mut impl Rng) -> bool {
        let is_free = request.running < request.slots.min(request.limit);
        if is_free && !self.rounds.contains_key(&request.target) {
            return true;
        }
        let round = self.rounds.entry(request.target).or_default();
        let admitted = request.running < request.limit && round.take(request, random);
        if !admitted {
            round.waiting += 1;
        }
        admitted
    }

    /// Records that a request of this instance has ended at a target.
    pub fn record_end(&mut self, target: usize) {
        if let Some(round) = self.rounds.get_mut(&target) {
            round.ended += 1;
        }
    }

    /// Starts a new round.
    pub fn tick(&mut self) {
        self.rounds.retain(|_, round| round.waiting > 0 || round.was_waiting);
        for round in self.rounds.values_mut() {
            *round = Round { was_waiting: round.waiting > 0, handovers: round.ended, ..Round::default() };
        }
    }

    /// Forgets all targets, as after a pause of the process.
    pub fn clear(&mut self) {
        self.rounds.clear();
    }
}

impl Round {
    /// Takes one start out of what is left for this round.
    fn take(&mut self, request: &Request, random: &mut impl Rng) -> bool {
        if self.handovers > 0 {
            self.handovers -= 1;
            return true;
        }
        let spare = request.limit - request.running;
        let budget =
            self.budgets[request.class].get_or_insert_with(|| Budget::share(spare, request.instances));
        budget.take_or_close(random)
    }
}
