//! Simulated targets for the test network: concurrency slots, service times and sheds.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use ragwortlb::{
    node::{Action, Answer, Event, Request, Ticket},
    wire::Outcome,
};
use rand::RngExt;

use super::{Net, service};

/// Concurrency slots of a target.
const SLOTS: usize = 3;

/// Time between steps, in milliseconds.
pub const STEP_MS: u64 = 1;

/// Identity of a customer's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    pub flow: u64,
    pub number: u64,
}

/// Pending answer of a run.
pub struct Due {
    instance: usize,
    ticket: Ticket,
    run: u32,
    answer: Answer,
}

/// Simulated targets, and what they ran.
#[derive(Default)]
pub struct Targets {
    pub ran: HashMap<Key, u32>,
    pub tickets: HashMap<Ticket, Key>,
    pub instance_of: HashMap<Ticket, usize>,
    pub shed: u64,
    pub runs: u64,
    pub cost_ms: (u64, u64),
    /// Loses one in this many answers after the run; 0 loses none.
    pub lose_one_in: u64,
    pub busy: HashMap<SocketAddr, Vec<u64>>,
    pub due: BTreeMap<u64, Vec<Due>>,
}

impl Targets {
    /// Sends a request to a random instance. Returns its ticket.
    pub fn request(
        &mut self,
        net: &mut Net,
        key: Key,
        attempt: u32,
        idempotent: bool,
        left_ms: u64,
    ) -> Option<Ticket> {
        let fabric = net.fabric(None);
        if fabric.is_empty() {
            return None;
        }
        let instance = fabric[net.rng.random_range(0..fabric.len())];
        let ticket = net.ticket();
        self.tickets.insert(ticket, key);
        self.instance_of.insert(ticket, instance);
        let request = Request {
            ticket,
            address: service(),
            flow: key.flow,
            number: key.number,
            attempt,
            first: key.number == 0,
            last: false,
            left_ms: Some(left_ms),
            idempotent,
        };
        net.handle(instance, Event::Request(request));
        Some(ticket)
    }

    /// Advances the time, runs requests and delivers answers.
    pub fn advance(&mut self, net: &mut Net, millis: u64) {
        let until = net.now + millis;
        while net.now < until {
            net.advance(STEP_MS);
            self.start_runs(net);
            self.deliver_answers(net);
        }
    }

    fn start_runs(&mut self, net: &mut Net) {
        for (instance, action) in std::mem::take(&mut net.runs) {
            let Action::Run { ticket, run, target, .. } = action else {
                continue;
            };
            let cost = net.rng.random_range(self.cost_ms.0..=self.cost_ms.1);
            let busy = self.busy.entry(target).or_default();
            busy.retain(|until| *until > net.now);
            let (at, answer) = if busy.len() >= SLOTS {
                self.shed += 1;
                (net.now + STEP_MS, Answer::Shed)
            } else {
                busy.push(net.now + cost);
                let key = self.tickets[&ticket];
                *self.ran.entry(key).or_default() += 1;
                self.runs += 1;
                let lost = self.lose_one_in > 0 && net.rng.random_ratio(1, self.lose_one_in as u32);
                let answer =
                    if lost { Answer::Lost("lost".into()) } else { Answer::Done(Default::default()) };
                (net.now + cost, answer)
            };
            self.due.entry(at).or_default().push(Due { instance, ticket, run, answer });
        }
    }

    fn deliver_answers(&mut self, net: &mut Net) {
        let later = self.due.split_off(&(net.now + 1));
        for due in std::mem::replace(&mut self.due, later).into_values().flatten() {
            let event = Event::Answer { ticket: due.ticket, run: due.run, answer: due.answer };
            net.handle(due.instance, event);
        }
    }

    /// Number of requests whose outcome satisfies `is`.
    pub fn count_outcomes(&self, net: &Net, is: impl Fn(&Outcome) -> bool) -> usize {
        net.outcomes.values().filter(|outcome| is(outcome)).count()
    }
}
