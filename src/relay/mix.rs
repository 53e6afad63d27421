/*!
Traffic mix of each service: which classes of requests it gets at present.

A plan may define classes that get no traffic. So the priority rank of a class is
relative to the classes in use: it is the share of them that have a greater
priority number.
*/

use crate::time::Time;

/// Half-life of the weight of an arrival, in milliseconds: shorter than a flood, longer
/// than the gaps between requests of a class in use.
const HALF_LIFE_MS: f32 = 2_000.0;

/// Share of a service's arrivals from which on a class counts as in use.
const MIN_SHARE: f32 = 0.02;

#[derive(Clone, Copy, Debug)]
struct Share {
    priority: u32,
    weight: f32,
}

/// Recent arrivals of each service.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    services: Vec<Vec<Share>>,
    last_decay: Time,
}

impl Mix {
    /// Records a request.
    pub fn record(&mut self, service: usize, priority: u32) {
        if self.services.len() <= service {
            self.services.resize(service + 1, Vec::new());
        }
        let shares = &mut self.services[service];
        match shares.iter_mut().find(|share| share.priority == priority) {
            Some(share) => share.weight += 1.0,
            None => shares.push(Share { priority, weight: 1.0 }),
        }
    }

    /// Decays the weight of former arrivals.
    pub fn tick(&mut self, now: Time) {
        let passed_ms = now.since(self.last_decay) as f32;
        self.last_decay = now;
        let factor = 0.5f32.powf(passed_ms / HALF_LIFE_MS);
        for shares in &mut self.services {
            shares.iter_mut().for_each(|share| share.weight *= factor);
            shares.retain(|share| share.weight > 0.01);
        }
    }

    /// Urgency of a class among those in use: one for the most urgent or only class, zero
    /// for the least urgent of several.
    pub fn priority_rank(&self, service: usize, priority: u32) -> f32 {
        let shares = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let total: f32 = shares.iter().map(|share| share.weight).sum();
        let others =
            shares.iter().filter(|share| share.priority != priority && share.weight >= MIN_SHARE * total);
        let less_urgent = others.clone().filter(|share| share.priority > priority).count();
        match others.count() {
            0 => 1.0,
            others => less_urgent as f32 / others as f32,
        }
    }

    /// Whether no class in use is less urgent.
    pub fn is_least_urgent(&self, service: usize, priority: u32) -> bool {
        let shares = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let total: f32 = shares.iter().map(|share| share.weight).sum();
        !shares.iter().any(|share| share.priority > priority && share.weight >= MIN_SHARE * total)
    }
}
