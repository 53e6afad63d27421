/*!
Turns a merged tree into a typed configuration.

Each document has been checked against the schema before. This step finds errors
that only the merged tree shows: a missing key, an address used twice, a service
without targets.
*/

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{
    Config, Diagnostic, Diagnostics, Kind, Position, Service, Target, Urgency,
    document::Value,
    merge::{Branch, Item, Leaf, Merged},
};
use crate::wire::ServiceId;

/// Default deadline of a request, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 5_000;
/// Default longest wait for a concurrency slot, in milliseconds.
pub const DEFAULT_QUEUE_MS: u64 = 1_000;
/// Default idle timeout of flows, in seconds.
pub const DEFAULT_IDLE_S: u64 = 4 * 3_600;
/// Default longest time for which a draining target keeps its flows, in seconds.
pub const DEFAULT_DRAIN_LIMIT_S: u64 = 8 * 3_600;
/// Default ramp of a new target, in seconds.
pub const DEFAULT_WARM_UP_S: u64 = 0;
/// Default weight of a target.
pub const DEFAULT_WEIGHT: u64 = 1;

/// Checks a merged tree.
///
/// # Errors
///
/// All errors that the merged tree shows.
pub fn check(merged: &Merged) -> Result<Config, Diagnostics> {
    let mut checker = Checker::default();
    let mut config = Config::default();
    let mut ids = BTreeMap::new();
    for (name, branch) in branches(&merged.root, "services") {
        if let Some(other) = ids.insert(ServiceId::of(name), name) {
            let message = format!(
                "service {name:?} has the same id, a hash of its name, as {other:?}; rename one of them"
            );
            checker.diagnostics.push(Diagnostic::at(Kind::Conflict, &branch.position, message));
        }
        if let Some(service) = checker.service(name, branch) {
            config.services.insert(name.clone(), service);
        }
    }
    if config.services.is_empty() && checker.diagnostics.is_empty() {
        checker.diagnostics.push(Diagnostic::folder(Kind::NothingToServe, "no service in any document"));
    }
    if checker.diagnostics.is_empty() { Ok(config) } else { Err(Diagnostics::new(checker.diagnostics)) }
}

pub(super) fn branches<'a>(branch: &'a Branch, key: &str) -> Vec<(&'a Arc<str>, &'a Branch)> {
    let Some(Item::Branch(child)) = branch.entries.get(key) else {
        return Vec::new();
    };
    let only_branches = |(name, item): (&'a Arc<str>, &'a Item)| match item {
        Item::Branch(branch) => Some((name, branch)),
        Item::Leaf(_) => None,
    };
    child.entries.iter().filter_map(only_branches).collect()
}

pub(super) fn leaf<'a>(branch: &'a Branch, key: &str) -> Option<&'a Leaf> {
    match branch.entries.get(key) {
        Some(Item::Leaf(leaf)) => Some(leaf),
        _ => None,
    }
}

/// User of an address, and the location where it is configured.
struct AddressUse {
    owner: String,
    position: Position,
}

/// Collects errors while it walks the tree.
#[derive(Default)]
struct Checker {
    diagnostics: Vec<Diagnostic>,
    service_addresses: BTreeMap<SocketAddr, AddressUse>,
    target_addresses: BTreeMap<SocketAddr, AddressUse>,
}

impl Checker {
    fn service(&mut self, name: &Arc<str>, branch: &Branch) -> Option<Service> {
        let address = self.required_address(&format!("service {name:?}"), branch);
        if let Some((address, position)) = &address {
            let owner = format!("service {name:?}");
            claim_address(&mut self.service_addresses, *address, owner, position, &mut self.diagnostics);
        }
        let targets = self.targets(name, branch);
        if branches(branch, "targets").is_empty() {
            self.diagnostics.push(Diagnostic::at(
                Kind::NothingToServe,
                &branch.position,
                format!("service {name:?} has no targets"),
            ));
        }
        Some(Service {
            address: address?.0,
            urgency: urgency(branch),
            movable: flag(branch, "movable"),
            deadline_ms: number(branch, "deadline_ms").unwrap_or(DEFAULT_DEADLINE_MS),
            queue_ms: number(branch, "queue_ms").unwrap_or(DEFAULT_QUEUE_MS),
            idle_s: number(branch, "idle_s").unwrap_or(DEFAULT_IDLE_S),
            drain_limit_s: number(branch, "drain_limit_s").unwrap_or(DEFAULT_DRAIN_LIMIT_S),
            warm_up_s: number(branch, "warm_up_s").unwrap_or(DEFAULT_WARM_UP_S),
            targets,
        })
    }

    fn targets(&mut self, service: &Arc<str>, branch: &Branch) -> BTreeMap<Arc<str>, Target> {
        let mut targets = BTreeMap::new();
        for (name, child) in branches(branch, "targets") {
            if let Some(target) = self.target(service, name, child) {
                targets.insert(name.clone(), target);
            }
        }
        targets
    }

    fn target(&mut self, service: &str, name: &str, branch: &Branch) -> Option<Target> {
        let owner = format!("target {name:?} of service {service:?}");
        let address = self.required_address(&owner, branch);
        if let Some((address, position)) = &address {
            let owner = owner.clone();
            claim_address(&mut self.target_addresses, *address, owner, position, &mut self.diagnostics);
        }
        let zone = text(branch, "zone");
        let slots = number(branch, "slots");
        for (key, missing) in [("zone", zone.is_none()), ("slots", slots.is_none())] {
            if missing {
                self.diagnostics.push(Diagnostic::at(
                    Kind::MissingKey,
                    &branch.position,
                    format!("{owner} has no {key:?}"),
                ));
            }
        }
        Some(Target {
            address: address?.0,
            zone: zone?,
            slots: slots? as u32,
            weight: number(branch, "weight").unwrap_or(DEFAULT_WEIGHT) as u32,
            leaving: flag(branch, "leaving"),
        })
    }

    fn required_address(&mut self, owner: &str, branch: &Branch) -> Option<(SocketAddr, Position)> {
        let Some(leaf) = leaf(branch, "address") else {
            self.diagnostics.push(Diagnostic::at(
                Kind::MissingKey,
                &branch.position,
                format!("{owner} has no \"address\""),
            ));
            return None;
        };
        let Value::String(text) = &leaf.value else {
            return None;
        };
        Some((text.parse().ok()?, leaf.position.clone()))
    }
}

fn claim_address(
    used: &mut BTreeMap<SocketAddr, AddressUse>,
    address: SocketAddr,
    owner: String,
    position: &Position,
    diagnostics: &mut Vec<Diagnostic>,
) {
    if let Some(first) = used.get(&address) {
        let message =
            format!("{owner} uses {address}, which {} already uses at {}", first.owner, first.position);
        diagnostics.push(Diagnostic::at(Kind::Conflict, position, message));
        return;
    }
    used.insert(address, AddressUse { owner, position: position.clone() });
}

pub(super) fn number(branch: &Branch, key: &str) -> Option<u64> {
    match &leaf(branch, key)?.value {
        Value::Number(text) => text.parse().ok(),
        _ => None,
    }
}

pub(super) fn text(branch: &Branch, key: &str) -> Option<Arc<str>> {
    match &leaf(branch, key)?.value {
        Value::String(text) => Some(text.clone()),
        _ => None,
    }
}

pub(super) fn flag(branch: &Branch, key: &str) -> bool {
    leaf(branch, key).is_some_and(|leaf| leaf.value == Value::Bool(true))
}

fn urgency(branch: &Branch) -> Urgency {
    match text(branch, "urgency").as_deref() {
        Some("high") => Urgency::High,
        Some("low") => Urgency::Low,
        _ => Urgency::Normal,
    }
}
