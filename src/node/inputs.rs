/*!
Inputs of the routing tables: the configuration and the states of targets.

The version of the inputs is a hash over both, so instances with the same version
compute the same tables.
*/

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    config::{self, Config},
    hash,
    route::{change::Version, router::TargetId, table::WeightedTarget},
    wire::{ServiceId, TargetState},
};

/// Key of a target state.
pub(super) type StateKey = (ServiceId, TargetId);

/// Inputs of all tables.
#[derive(Clone, Debug, Default)]
pub(super) struct Inputs {
    revision: u64,
    change: Arc<str>,
    config: Arc<Config>,
    states: BTreeMap<StateKey, TargetState>,
}

impl Inputs {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Replaces the configuration and drops the states of targets that it lacks.
    pub(super) fn set_config(&mut self, revision: u64, change: Arc<str>, config: Arc<Config>) {
        self.revision = revision;
        self.change = change;
        self.config = config;
        let kept = |key: &StateKey| find_configured(&self.config, *key).is_some();
        self.states.retain(|key, _| kept(key));
    }

    /// Merges a target state. Returns whether it replaced an older one.
    pub(super) fn merge(&mut self, state: TargetState) -> bool {
        let key = (state.service, state.target);
        let rank = |state: &TargetState| (state.epoch, state.gone);
        match self.states.get(&key) {
            Some(known) if rank(known) >= rank(&state) => false,
            _ => {
                self.states.insert(key, state);
                true
            }
        }
    }

    /// States of all targets that were ever reported as leaving.
    pub(super) fn states(&self) -> Vec<TargetState> {
        self.states.values().copied().collect()
    }

    pub(super) fn state(&self, key: StateKey) -> Option<&TargetState> {
        self.states.get(&key)
    }

    /// Version of these inputs; the default before the first configuration.
    pub(super) fn version(&self) -> Version {
        if self.revision == 0 {
            return Version::default();
        }
        let start = hash::pair(self.revision, hash::name(&self.change));
        let fold = |version: u64, state: &TargetState| {
            let target = hash::pair(state.target.0, u64::from(state.service.0));
            hash::pair(version, hash::pair(target, u64::from(state.epoch) * 2 + u64::from(state.gone)))
        };
        Version(self.states.values().fold(start, fold))
    }

    /// Targets of a service that get new flows: neither leaving nor stopped.
    pub(super) fn serving_targets(&self, name: &str) -> Vec<WeightedTarget> {
        let Some(service) = self.config.services.get(name) else {
            return Vec::new();
        };
        let id = ServiceId::of(name);
        let serving = |(name, target): (&Arc<str>, &config::Target)| {
            let key = target_key(name, target.address);
            let state = self.states.get(&(id, TargetId::of(&key)));
            let is_leaving = target.leaving || state.is_some_and(|state| state.epoch % 2 == 1 || state.gone);
            (!is_leaving).then(|| WeightedTarget::new(key, target.weight))
        };
        service.targets.iter().filter_map(serving).collect()
    }
}

/// Name of a target in the tables, `NAME@ADDRESS`. With another address it is
/// another target.
pub(super) fn target_key(name: &str, address: SocketAddr) -> Arc<str> {
    format!("{name}@{address}").into()
}

/// Address in the name of a target in the tables.
pub(super) fn key_address(key: &str) -> Option<SocketAddr> {
    key.rsplit_once('@')?.1.parse().ok()
}

/// Names of the service and target of a state, if both are configured.
pub(super) fn find_configured(config: &Config, key: StateKey) -> Option<(Arc<str>, Arc<str>)> {
    let (service, id) = key;
    let (name, found) = config.services.iter().find(|(name, _)| ServiceId::of(name) == service)?;
    let same =
        |(target, conf): &(&Arc<str>, &config::Target)| TargetId::of(&target_key(target, conf.address)) == id;
    found.targets.iter().find(same).map(|(target, _)| (name.clone(), target.clone()))
}
