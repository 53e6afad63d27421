/*!
Finds parts of a valid configuration that probably do not do what was intended:
services without a target for new flows, settings that can never take effect,
addresses that cannot be reached, and limits that contradict each other.

Entries that a merge leaves without effect are found by [`super::merge`]. Values that do
not follow the schema are skipped here, as they are reported as errors.
*/

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use super::{
    Diagnostic, Kind, Position,
    check::{
        DEFAULT_DEADLINE_MS, DEFAULT_DRAIN_LIMIT_S, DEFAULT_IDLE_S, DEFAULT_QUEUE_MS, DEFAULT_WARM_UP_S,
        DEFAULT_WEIGHT, branches, flag, leaf, number, text,
    },
    document::Value,
    merge::{Branch, Merged},
};

/// Finds the warnings about a merged tree.
pub(super) fn warnings(merged: &Merged) -> Vec<Diagnostic> {
    let mut warnings = Vec::new();
    for (name, service) in branches(&merged.root, "services") {
        check_targets(name, service, &mut warnings);
        check_limits(name, service, &mut warnings);
    }
    check_addresses(merged, &mut warnings);
    warnings
}

/// Finds services without a target for new flows, and settings that cannot take effect
/// with the configured targets.
fn check_targets(name: &str, service: &Branch, warnings: &mut Vec<Diagnostic>) {
    let targets = branches(service, "targets");
    if targets.is_empty() {
        return;
    }
    if targets.iter().all(|(_, target)| flag(target, "leaving")) {
        let message = format!("service {name:?} gets no new flows, all its targets are leaving");
        warnings.push(Diagnostic::at(Kind::NoServingTarget, &service.position, message));
    }
    if let [(target_name, target)] = targets[..]
        && let Some(weight) = leaf(target, "weight")
        && number(target, "weight").is_some_and(|weight| weight != DEFAULT_WEIGHT)
    {
        let message = format!("weight has no effect, {target_name:?} is the only target of service {name:?}");
        warnings.push(Diagnostic::at(Kind::NoEffect, &weight.position, message));
    }
    // A warming target always has one slot, so the ramp needs a second one.
    if let Some(warm_up) = leaf(service, "warm_up_s")
        && number(service, "warm_up_s").is_some_and(|warm_up_s| warm_up_s > 0)
        && targets.iter().all(|(_, target)| number(target, "slots") == Some(1))
    {
        let message = format!("warm_up_s has no effect, every target of service {name:?} has 1 slot");
        warnings.push(Diagnostic::at(Kind::NoEffect, &warm_up.position, message));
    }
}

/// Limit of a service in effect: a configured value or the default.
struct Limit<'a> {
    key: &'static str,
    value: u64,
    unit_ms: u64,
    position: Option<&'a Position>,
}

impl<'a> Limit<'a> {
    /// Limit of a service; `None` if its value does not follow the schema.
    fn new(service: &'a Branch, key: &'static str, default: u64, unit_ms: u64) -> Option<Limit<'a>> {
        let Some(leaf) = leaf(service, key) else {
            return Some(Limit { key, value: default, unit_ms, position: None });
        };
        let Value::Number(text) = &leaf.value else {
            return None;
        };
        Some(Limit { key, value: text.parse().ok()?, unit_ms, position: Some(&leaf.position) })
    }

    fn ms(&self) -> u64 {
        self.value.saturating_mul(self.unit_ms)
    }

    /// Key and value, and the origin if it is not the location of the finding.
    fn describe(&self, finding: &Position) -> String {
        match self.position {
            None => format!("{} {} (default)", self.key, self.value),
            Some(position) if position != finding => format!("{} {} ({position})", self.key, self.value),
            Some(_) => format!("{} {}", self.key, self.value),
        }
    }
}

/// Finds limits of one service that contradict each other.
fn check_limits(name: &str, service: &Branch, warnings: &mut Vec<Diagnostic>) {
    const MS: u64 = 1;
    const S: u64 = 1_000;
    let deadline = Limit::new(service, "deadline_ms", DEFAULT_DEADLINE_MS, MS);
    let queue = Limit::new(service, "queue_ms", DEFAULT_QUEUE_MS, MS);
    let idle = Limit::new(service, "idle_s", DEFAULT_IDLE_S, S);
    let drain_limit = Limit::new(service, "drain_limit_s", DEFAULT_DRAIN_LIMIT_S, S);
    let warm_up = Limit::new(service, "warm_up_s", DEFAULT_WARM_UP_S, S);
    // Each row: the limit that must not be longer, the one that it must not exceed, and
    // what happens otherwise.
    let rules = [
        (&queue, &deadline, "a request reaches its deadline before the longest wait"),
        (&deadline, &idle, "a flow may be forgotten while its request runs"),
        (&deadline, &drain_limit, "the flow of a running request may be dropped from a leaving target"),
        (&warm_up, &drain_limit, "a leaving target is dropped before its replacement has its full share"),
    ];
    for (longer, shorter, consequence) in rules {
        let (Some(longer), Some(shorter)) = (longer, shorter) else {
            continue;
        };
        if longer.ms() <= shorter.ms() {
            continue;
        }
        // If both are configured, the finding is at the one that was set last.
        let Some(position) = longer.position.max(shorter.position) else {
            continue;
        };
        let (longer, shorter) = (longer.describe(position), shorter.describe(position));
        let message = format!("service {name:?}: {longer} is longer than {shorter}: {consequence}");
        warnings.push(Diagnostic::at(Kind::ContradictoryLimits, position, message));
    }
}

/// Address of a service or target.
struct Use {
    owner: String,
    is_service: bool,
    address: SocketAddr,
    position: Position,
}

impl Use {
    fn new(owner: String, is_service: bool, branch: &Branch) -> Option<Use> {
        let address = text(branch, "address")?.parse().ok()?;
        Some(Use { owner, is_service, address, position: leaf(branch, "address")?.position.clone() })
    }

    /// Same address in one form: an IPv4 address mapped to IPv6 is the IPv4 address.
    fn canonical(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip().to_canonical(), self.address.port())
    }

    /// Reports whether the errors already name this pair.
    fn is_known_conflict(&self, other: &Use) -> bool {
        self.is_service == other.is_service && self.address == other.address
    }
}

/// Finds addresses that cannot be reached, and pairs of one address that are written
/// differently or belong to a service and a target.
fn check_addresses(merged: &Merged, warnings: &mut Vec<Diagnostic>) {
    let mut uses = Vec::new();
    for (name, service) in branches(&merged.root, "services") {
        uses.extend(Use::new(format!("service {name:?}"), true, service));
        for (target_name, target) in branches(service, "targets") {
            uses.extend(Use::new(format!("target {target_name:?} of service {name:?}"), false, target));
        }
    }
    // The later of two uses gets the finding.
    uses.sort_by(|a, b| a.position.cmp(&b.position));
    let mut first_uses: BTreeMap<SocketAddr, Vec<&Use>> = BTreeMap::new();
    for address_use in &uses {
        if let Some(kind) = unreachable_kind(address_use.address.ip()) {
            let message = format!("{} cannot be reached, its address is {kind}", address_use.owner);
            warnings.push(Diagnostic::at(Kind::UnusableAddress, &address_use.position, message));
        }
        let others = first_uses.entry(address_use.canonical()).or_default();
        if let Some(first) = others.first()
            && !others.iter().any(|other| other.is_known_conflict(address_use))
        {
            let message = format!(
                "{} uses {}, which is also the address of {} at {}",
                address_use.owner, address_use.address, first.owner, first.position
            );
            warnings.push(Diagnostic::at(Kind::UnusableAddress, &address_use.position, message));
        }
        others.push(address_use);
    }
}

/// Kind of an address that is not that of a single host.
fn unreachable_kind(address: IpAddr) -> Option<&'static str> {
    let address = address.to_canonical();
    if address.is_unspecified() {
        return Some("unspecified");
    }
    if address.is_multicast() {
        return Some("multicast");
    }
    matches!(address, IpAddr::V4(v4) if v4.is_broadcast()).then_some("broadcast")
}
