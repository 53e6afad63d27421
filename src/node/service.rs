//! Table of services: routing, slots and queue of each.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use super::{inputs, settings::Settings, status::ServiceStatus};
use crate::{
    admit::{
        health::Health,
        homes::{self, Unit},
        queue::Queue,
        slots::Slots,
    },
    config,
    route::router::{OldFlows, Router},
    time::Time,
    wire::{Old, ServiceId},
};

/// What is known of a target, by its number in the router.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) key: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) since: Time,
    pub(super) leaving_since: Option<Time>,
}

/// One service.
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) id: ServiceId,
    pub(super) conf: config::Service,
    pub(super) router: Router,
    pub(super) targets: BTreeMap<u16, Target>,
    pub(super) slots: Slots,
    pub(super) homes: Vec<Arc<str>>,
    pub(super) homes_by_target: HashMap<u16, Vec<Arc<str>>>,
    pub(super) queue: Queue,
    pub(super) health: Health,
    pub(super) asked: usize,
    pub(super) run_ms: f64,
}

impl Service {
    pub(super) fn new(name: &Arc<str>, conf: &config::Service, settings: &Settings) -> Service {
        Service {
            name: name.clone(),
            id: ServiceId::of(name),
            conf: conf.clone(),
            router: Router::new(settings.max_flows, conf.idle_s),
            targets: BTreeMap::new(),
            slots: Slots::default(),
            homes: Vec::new(),
            homes_by_target: HashMap::new(),
            queue: Queue::default(),
            health: Health::default(),
            asked: 0,
            run_ms: 0.0,
        }
    }

    /// Takes over what a configuration says of the targets.
    pub(super) fn update_targets(&mut self, conf: &config::Service, serving: &[Arc<str>], now: Time) {
        self.conf = conf.clone();
        for (name, target) in &conf.targets {
            let key = inputs::target_key(name, target.address);
            let number = self.router.number(&key);
            let fresh = || Target {
                key,
                address: target.address,
                slots: target.slots,
                since: now,
                leaving_since: None,
            };
            let known = self.targets.entry(number).or_insert_with(fresh);
            known.slots = target.slots;
        }
        for target in self.targets.values_mut() {
            if serving.contains(&target.key) {
                target.leaving_since = None;
            } else {
                target.leaving_since.get_or_insert(now);
            }
        }
    }

    /// Number of a target by its name in tables; one that is not configured any
    /// more is added as leaving.
    pub(super) fn old_target(&mut self, key: &Arc<str>, now: Time) -> Option<u16> {
        let address = inputs::key_address(key)?;
        let number = self.router.number(key);
        let gone = Target { key: key.clone(), address, slots: 0, since: now, leaving_since: Some(now) };
        self.targets.entry(number).or_insert(gone);
        Some(number)
    }

    /// Old flows in the form that others understand.
    pub(super) fn wire_old(&self, old: &OldFlows) -> Option<Old> {
        let target = self.router.name(old.target)?.clone();
        Some(Old { service: self.id, target, slots: old.slots.clone(), filter: old.filter.clone() })
    }

    /// Computes the homes of all slots anew.
    pub(super) fn assign_homes(&mut self, instances: &[Arc<str>], own: &str) {
        let units = self.targets.iter().flat_map(|(number, target)| {
            (0..target.slots).map(|index| Unit::new(*number, &target.key, index))
        });
        let homes = homes::homes(units.collect(), instances);
        self.slots.assign(homes.get(own).map_or(&[][..], |units| units));
        self.homes.clear();
        self.homes_by_target.clear();
        for (instance, units) in homes {
            if &*instance == own {
                continue;
            }
            for unit in units {
                let of_target = self.homes_by_target.entry(unit.target).or_default();
                if !of_target.contains(&instance) {
                    of_target.push(instance.clone());
                }
            }
            self.homes.push(instance);
        }
    }

    /// Slots of a target that may be used now, by index.
    pub(super) fn allowed(&self, number: u16, now: Time) -> u32 {
        let Some(target) = self.targets.get(&number) else {
            return 0;
        };
        let warm_up_ms = self.conf.warm_up_s * 1_000;
        let age = now.since(target.since);
        if age >= warm_up_ms {
            return target.slots;
        }
        let share = u64::from(target.slots) * age / warm_up_ms;
        (share as u32).max(1)
    }

    /// Reports whether a target may get work that is not bound to it.
    pub(super) fn takes_new_work(&self, number: u16, now: Time) -> bool {
        let leaves = self.targets.get(&number).is_none_or(|target| target.leaving_since.is_some());
        !leaves && !self.router.is_gone(number) && !self.health.is_paused(number, self.targets.len(), now)
    }

    /// Address of a target.
    pub(super) fn address(&self, number: u16) -> Option<SocketAddr> {
        self.targets.get(&number).map(|target| target.address)
    }

    /// Notes how long a run took, in milliseconds.
    pub(super) fn note_run(&mut self, took_ms: u64) {
        const WEIGHT: f64 = 0.1;
        let took = took_ms as f64;
        self.run_ms = if self.run_ms == 0.0 { took } else { self.run_ms + WEIGHT * (took - self.run_ms) };
    }

    pub(super) fn status(&self) -> ServiceStatus {
        ServiceStatus {
            name: self.name.clone(),
            flows: self.router.flows().len(),
            unsettled_slots: self.router.unsettled(),
            exceptions: self.router.kept_len(),
            filter_bytes: self.router.filters().iter().map(|old| old.filter.bytes()).sum(),
            not_held: self.router.not_held(),
            waiting: self.queue.len(),
            home_slots: self.slots.len(),
            used_slots: self.slots.used(),
        }
    }
}
