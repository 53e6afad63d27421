/*!
Whether the flows of a route stay open for several requests.

Some clients open a flow for each request and close it with the answer. Others keep
one for minutes and send a request from time to time. A flow of the second kind is
balanced for its lifetime: what counts for its target is the number of flows there
more than what runs at this moment.

The address does not tell which kind a route has, so it is learned from its flows: one
that gets a second request lasts, one that is closed after its first answer does not.
*/

use std::{collections::HashMap, net::SocketAddrV4};

/// Weight of a new flow in the exponential moving average of a route.
const SAMPLE_WEIGHT: f32 = 0.1;

/// Share of lasting flows from which on new flows of a route are placed as such.
const LASTING_SHARE: f32 = 0.5;

/// Habits of the clients by route.
#[derive(Clone, Debug, Default)]
pub struct Habits {
    lasting_shares: HashMap<SocketAddrV4, f32>,
}

impl Habits {
    /// Records whether a flow of a route got several requests.
    pub fn record(&mut self, address: SocketAddrV4, lasts: bool) {
        let sample = if lasts { 1.0 } else { 0.0 };
        let share = self.lasting_shares.entry(address).or_insert(sample);
        *share += SAMPLE_WEIGHT * (sample - *share);
    }

    /// Whether the flows of a route last. An unknown route counts as such: all clients may be
    /// opening their flows, and an even number of flows is good for both kinds.
    pub fn is_lasting(&self, address: SocketAddrV4) -> bool {
        self.lasting_shares.get(&address).is_none_or(|share| *share >= LASTING_SHARE)
    }
}
