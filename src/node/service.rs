//! State of one service: router, concurrency slots and request queue.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use super::{inputs, settings::Settings, status::ServiceStatus};
use crate::{
    admit::{
        outlier::Outliers,
        owners::{self, TargetSlot},
        queue::Queue,
        slots::Slots,
    },
    config,
    route::router::{PinnedFlows, Router},
    time::Time,
    wire::{PinnedFilter, ServiceId},
};

/// State of a target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Name in the tables, `NAME@ADDRESS`.
    pub(super) key: Arc<str>,
    pub(super) address: SocketAddr,
    /// Concurrency slots.
    pub(super) slots: u32,
    /// Time at which the target was first seen here.
    pub(super) since: Time,
    pub(super) leaving_since: Option<Time>,
}

/// State of one service.
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) id: ServiceId,
    pub(super) conf: config::Service,
    pub(super) router: Router,
    /// Targets by their index in the router.
    pub(super) targets: BTreeMap<u16, Target>,
    /// Concurrency slots that this instance owns.
    pub(super) slots: Slots,
    /// Other instances that own slots of any target.
    pub(super) owners: Vec<Arc<str>>,
    /// Other instances that own slots of a target.
    pub(super) owners_by_target: HashMap<u16, Vec<Arc<str>>>,
    pub(super) queue: Queue,
    pub(super) outliers: Outliers,
    /// Slot queries that await a reply.
    pub(super) queried: usize,
    /// Moving average of run times, in milliseconds; 0 before the first run.
    pub(super) mean_run_ms: f64,
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
            owners: Vec::new(),
            owners_by_target: HashMap::new(),
            queue: Queue::default(),
            outliers: Outliers::default(),
            queried: 0,
            mean_run_ms: 0.0,
        }
    }

    /// Applies the configuration of the targets. Targets that are not in `serving` are leaving.
    pub(super) fn update_targets(&mut self, conf: &config::Service, serving: &[Arc<str>], now: Time) {
        self.conf = conf.clone();
        for (name, target) in &conf.targets {
            let key = inputs::target_key(name, target.address);
            let interned_target = self.router.interned_target(&key);
            let fresh = || Target {
                key,
                address: target.address,
                slots: target.slots,
                since: now,
                leaving_since: None,
            };
            let known = self.targets.entry(interned_target).or_insert_with(fresh);
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

    /// Index of a target by its name in the tables. A target that is no longer
    /// configured is added as leaving.
    ///
    /// Returns nothing if the name has no valid address.
    pub(super) fn former_target(&mut self, key: &Arc<str>, now: Time) -> Option<u16> {
        let address = inputs::key_address(key)?;
        let interned_target = self.router.interned_target(key);
        let former = Target { key: key.clone(), address, slots: 0, since: now, leaving_since: Some(now) };
        self.targets.entry(interned_target).or_insert(former);
        Some(interned_target)
    }

    /// Pinned flows with the target by name, for peers.
    pub(super) fn to_wire(&self, pinned: &PinnedFlows) -> Option<PinnedFilter> {
        let target = self.router.name(pinned.target)?.clone();
        Some(PinnedFilter {
            service: self.id,
            target,
            slots: pinned.slots.clone(),
            filter: pinned.filter.clone(),
        })
    }

    /// Recomputes the owners of all concurrency slots.
    pub(super) fn assign_owners(&mut self, instances: &[Arc<str>], own: &str) {
        let target_slots = self.targets.iter().flat_map(|(target_index, target)| {
            (0..target.slots).map(|index| TargetSlot::new(*target_index, &target.key, index))
        });
        let owners = owners::owners(target_slots.collect(), instances);
        self.slots.assign(owners.get(own).map_or(&[][..], |target_slots| target_slots));
        self.owners.clear();
        self.owners_by_target.clear();
        for (instance, target_slots) in owners {
            if &*instance == own {
                continue;
            }
            for target_slot in target_slots {
                let of_target = self.owners_by_target.entry(target_slot.target).or_default();
                if !of_target.contains(&instance) {
                    of_target.push(instance.clone());
                }
            }
            self.owners.push(instance);
        }
    }

    /// Number of slots of a target that may be used now. During warm-up it rises in
    /// proportion to the target's age, from 1.
    pub(super) fn allowed(&self, target_index: u16, now: Time) -> u32 {
        let Some(target) = self.targets.get(&target_index) else {
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

    /// Reports whether a target may run requests that are not bound to it.
    pub(super) fn takes_new_work(&self, target_index: u16, now: Time) -> bool {
        let leaves = self.targets.get(&target_index).is_none_or(|target| target.leaving_since.is_some());
        !leaves
            && !self.router.is_gone(target_index)
            && !self.outliers.is_ejected(target_index, self.targets.len(), now)
    }

    /// Address of a target.
    pub(super) fn address(&self, target_index: u16) -> Option<SocketAddr> {
        self.targets.get(&target_index).map(|target| target.address)
    }

    /// Adds a run time to the moving average.
    pub(super) fn record_run_time(&mut self, took_ms: u64) {
        const SMOOTHING: f64 = 0.1;
        let took = took_ms as f64;
        self.mean_run_ms = if self.mean_run_ms == 0.0 {
            took
        } else {
            self.mean_run_ms + SMOOTHING * (took - self.mean_run_ms)
        };
    }

    pub(super) fn status(&self) -> ServiceStatus {
        ServiceStatus {
            name: self.name.clone(),
            flows: self.router.flows().len(),
            unsettled_slots: self.router.unsettled(),
            exceptions: self.router.exception_count(),
            filter_bytes: self.router.filters().iter().map(|pinned| pinned.filter.bytes()).sum(),
            not_held: self.router.not_held(),
            waiting: self.queue.len(),
            home_slots: self.slots.len(),
            used_slots: self.slots.used(),
        }
    }
}
