/*!
Targets and routes known to one instance.

Every record carries the store revision at which it was read. An update with a
lower revision is ignored, whether it comes from the store or from a peer, so
the catalog never goes back to an older state.

If the store returns from a backup, the catalog keeps what the backup has lost. An entry
of the new era that is not newer than the known one, by its start and heartbeat counter,
was restored: only its revision is taken over, and a drain or end that is known stays.

A target that is gone stays in the catalog for the longest duration of a flow, so
that packets of its flows are still sent with its number. No other target accepts
that number, so they cannot reach a wrong one.

A target whose entry expired while the store was unavailable is *missing*. It
may still run, so it keeps getting flows until the store has been back for
[`REREGISTRATION_MS`].
*/

mod endings;
mod record;

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

pub use self::record::{Mark, Record, State, Target};
use super::{
    Class, Plan, PlanId, Token,
    cells::Cell,
    evacuation::{Evacuation, Evacuations},
    revision::Revision,
};
use crate::time::Time;

/// Time after the store's recovery within which running targets have registered again,
/// in milliseconds. The operators state about two seconds.
pub const REREGISTRATION_MS: u64 = 2_300;

/// Time until an instance knows what the store reader has read, in milliseconds: the longest gap
/// between two updates that counts as none, and a margin. With less, the last update before a
/// target registered again could suffice to remove it.
const NOTIFICATION_MS: u64 = 1_900;

/// Ranges of skipped revisions that are kept; older ones are merged.
const MAX_SKIPPED: usize = 8;

/// Where new flows of an address are placed.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Services by index, with weights. Services of former plans stay with weight zero,
    /// so that packets of their open flows are still forwarded.
    pub shares: Vec<(usize, u32)>,
    /// Class of its requests.
    pub class: Class,
    /// Whether the plan in effect has the route.
    pub is_active: bool,
}

/// Effect of a record on the catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// None: the record is not newer, or is not accepted.
    None,
    /// Only a heartbeat.
    Heartbeat(usize),
    /// Another state, number of slots or zone.
    Updated(usize),
    /// A new incarnation, under a known or a new name.
    Restarted(usize),
}

/// Revisions that a list of all targets has skipped: there is no record of targets that were
/// added and ended between them.
#[derive(Clone, Copy, Debug)]
struct Skipped {
    after: Revision,
    before: Revision,
}

/// Targets and routes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Store revision up to which the targets are complete.
    target_revision: Revision,
    /// Latest revision of a record, which may come after a gap.
    seen_revision: Revision,
    plan: Plan,
    /// Store revision up to which no plan later than `plan` was written.
    plan_revision: Revision,
    targets: Vec<Option<Target>>,
    by_token: HashMap<Token, usize>,
    by_name: HashMap<Arc<str>, usize>,
    services: Vec<Arc<str>>,
    service_targets: Vec<Vec<usize>>,
    list_version: u64,
    /// Greatest revision of a target that was removed from the catalog.
    forgotten_revision: Revision,
    skipped: Vec<Skipped>,
    routes: HashMap<SocketAddrV4, RouteEntry>,
    evacuations: Evacuations,
    /// Services of the plan by index; the default one for services that it does not have.
    service_plans: Vec<WarmUpPlan>,
}

/// What the plan says of the cold targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUpPlan {
    /// Time for which a target is cold after its start, in milliseconds.
    pub time_ms: u64,
    /// Requests a second that a cold target bears; zero if no limit is stated.
    pub per_s: f32,
}

impl Catalog {
    /// Revision up to which the catalog is complete, targets and plan alike. A reader of the
    /// store continues from here.
    pub fn revision(&self) -> Revision {
        self.target_revision.min(self.plan_revision)
    }

    /// Revision up to which the targets are complete. The plan may be older, as updates from
    /// peers carry no plans.
    pub fn target_revision(&self) -> Revision {
        self.target_revision
    }

    /// Latest revision of a record or up to which the targets are complete. Beyond a gap,
    /// some records up to it are known.
    pub fn seen_revision(&self) -> Revision {
        self.seen_revision.max(self.target_revision)
    }

    /// Marks the targets complete up to a revision.
    pub fn advance_targets(&mut self, revision: Revision) {
        self.target_revision = self.target_revision.max(revision);
    }

    /// Plan in effect, and the revision up to which it is known to be the latest.
    pub fn plan_mark(&self) -> Mark {
        Mark { plan: self.plan.id(), revision: self.plan_revision }
    }

    /// Marks the plan complete up to the revision of a mark, unless the mark names a plan that
    /// replaces the one in effect.
    pub fn confirm_plan(&mut self, mark: Mark) {
        if !mark.plan.replaces(self.plan.id()) {
            self.renew_plan(mark.plan);
            self.plan_revision = self.plan_revision.max(mark.revision);
        }
    }

    /// Takes over the era of a plan that is the one in effect, read again after a return from a
    /// backup. Another plan that had its version in between must not replace it.
    fn renew_plan(&mut self, read: PlanId) {
        if (read.version, read.digest) == (self.plan.version, self.plan.digest) {
            self.plan.era = self.plan.era.max(read.era);
        }
    }

    /// Records that a list of all targets was applied to a catalog whose targets were complete
    /// up to the revision `before`, rather than each change since.
    pub fn record_skipped(&mut self, before: Revision) {
        if before >= self.target_revision {
            return;
        }
        self.skipped.push(Skipped { after: before, before: self.target_revision });
        if self.skipped.len() > MAX_SKIPPED {
            let oldest = self.skipped.remove(0);
            self.skipped[0].after = oldest.after;
        }
    }

    /// Evacuated availability zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies the state of a zone's evacuation if it is later than the known one; returns
    /// whether the zone became evacuated or ceased to be.
    pub fn apply_evacuation(&mut self, evacuation: Evacuation) -> bool {
        let is_changed = self.evacuations.apply(evacuation);
        if is_changed {
            self.list_version += 1;
        }
        is_changed
    }

    /// Ends evacuations of earlier eras and starts those that are held; returns what changed.
    pub fn settle_evacuations(&mut self) -> Vec<Evacuation> {
        let changed = self.evacuations.settle(self.target_revision.era);
        if !changed.is_empty() {
            self.list_version += 1;
        }
        changed
    }

    /// Plan in effect.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Target at an index.
    pub fn target(&self, index: usize) -> Option<&Target> {
        self.targets.get(index)?.as_ref()
    }

    /// Length of tables indexed by target.
    pub fn size(&self) -> usize {
        self.targets.len()
    }

    /// Index of the target that a token names.
    pub fn find(&self, token: Token) -> Option<usize> {
        self.by_token.get(&token).copied()
    }

    /// Indices of a service's targets that are not gone.
    pub fn service_targets(&self, service: usize) -> &[usize] {
        self.service_targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Indices of a service's targets that a cell uses: its share of those that get new
    /// flows, in the order of their tokens.
    pub fn targets_in_cell(&self, service: usize, cell: Cell) -> Vec<usize> {
        let takes_new = |target: &&Target| self.takes_new(target);
        let token = |index: &usize| self.target(*index).filter(takes_new).map(|target| target.token);
        let mut ranked: Vec<_> =
            self.service_targets(service).iter().filter_map(|index| Some((token(index)?, *index))).collect();
        ranked.sort_unstable();
        let target_range = cell.target_range(ranked.len());
        ranked[target_range].iter().map(|(_, index)| *index).collect()
    }

    /// Number of a service's targets that get new flows, which the cells divide.
    pub fn placeable_targets(&self, service: usize) -> usize {
        let targets = self.service_targets(service).iter().filter_map(|index| self.target(*index));
        targets.filter(|target| self.takes_new(target)).count()
    }

    /// Whether a target gets new flows. A missing one that was draining does not.
    pub fn takes_new(&self, target: &Target) -> bool {
        target.record.state != State::Gone
            && !target.is_draining()
            && !self.evacuations.contains(&target.record.entry.zone)
    }

    /// Number of changes to the lists of targets, to detect one.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Name of a service.
    pub fn service(&self, index: usize) -> &Arc<str> {
        &self.services[index]
    }

    /// What the plan says of the cold targets of a service.
    pub fn warm_up(&self, service: usize) -> WarmUpPlan {
        self.service_plans.get(service).copied().unwrap_or_default()
    }

    /// Number of services seen so far.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Route of an address, also if only a former plan had it.
    pub fn find_route(&self, address: &SocketAddrV4) -> Option<&RouteEntry> {
        self.routes.get(address)
    }

    /// All records, for a peer.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.targets.iter().flatten().map(|target| &target.record)
    }

    /// Records that a peer whose catalog is complete up to a revision may lack. A missing
    /// target is gone later at the same revision, so all of these are included.
    pub fn records_after(&self, revision: Revision) -> impl Iterator<Item = &Record> {
        self.records().filter(move |record| record.revision > revision || record.state >= State::Missing)
    }

    /// Whether [`records_after`](Self::records_after) a revision are all that a catalog lacks
    /// that is complete up to it, and has seen some records up to another one. Not if targets
    /// that it knows ended too long ago, or within skipped revisions.
    pub fn is_complete_after(&self, revision: Revision, seen_revision: Revision) -> bool {
        let is_skipped =
            self.skipped.iter().any(|skipped| skipped.after < seen_revision && revision < skipped.before);
        revision.is_some() && revision >= self.forgotten_revision && !is_skipped
    }

    /// Adopts a plan if it replaces the one in effect; returns whether it did.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        if !plan.id().replaces(self.plan.id()) {
            self.renew_plan(plan.id());
            return false;
        }
        for route_entry in self.routes.values_mut() {
            route_entry.is_active = false;
        }
        for route in &plan.routes {
            let former = self.routes.remove(&route.address);
            let mut shares = Vec::new();
            for share in &route.shares {
                shares.push((self.service_index(&share.service), share.weight));
            }
            for (service, _) in former.into_iter().flat_map(|route_entry| route_entry.shares) {
                if !shares.iter().any(|(known, _)| *known == service) {
                    shares.push((service, 0));
                }
            }
            self.routes.insert(route.address, RouteEntry { shares, class: route.class, is_active: true });
        }
        self.service_plans.clear();
        for service in &plan.services {
            let index = self.service_index(&service.name);
            self.service_plans.resize(self.services.len(), WarmUpPlan::default());
            self.service_plans[index] =
                WarmUpPlan { time_ms: service.warm_up_ms, per_s: service.warm_up_per_s };
        }
        self.plan = plan;
        true
    }

    /// Applies a record if it is later than the known one of its target.
    ///
    /// An invalid entry is ignored, and the last valid one stays. So is a record that is missing
    /// here at a revision up to which the targets are complete, as its target has ended since.
    pub fn apply(&mut self, record: Record, now: Time) -> Change {
        // Peers send only entries that they have accepted, so there is nothing to report.
        if record.entry.check().is_err() {
            return Change::None;
        }
        self.seen_revision = self.seen_revision.max(record.revision);
        let known = self.by_name.get(&record.entry.name).copied();
        let is_complete = self.target_revision.is_some() && record.revision <= self.target_revision;
        let Some(index) = known else {
            // The target has ended since, or it would be known.
            return if is_complete { Change::None } else { self.insert(record, now) };
        };
        let target = self.targets[index].as_ref().expect("a named target is in the table");
        let (revision, state) = (target.record.revision, target.record.state);
        if (record.revision, record.state) <= (revision, state) {
            return Change::None;
        }
        // The target started again after the known record, and has ended since.
        if is_complete && record.revision > revision {
            return Change::None;
        }
        let record = target.reconcile(record);
        let is_new_incarnation = record.entry.born_ms != target.record.entry.born_ms
            || record.entry.address != target.record.entry.address
            || record.entry.service != target.record.entry.service;
        let is_changed = record.state != state
            || record.entry.slots != target.record.entry.slots
            || record.entry.zone != target.record.entry.zone;
        self.update(index, record, now);
        match (is_new_incarnation, is_changed) {
            (true, _) => Change::Restarted(index),
            (false, true) => Change::Updated(index),
            (false, false) => Change::Heartbeat(index),
        }
    }

    fn insert(&mut self, record: Record, now: Time) -> Change {
        let token = Token::of(&record.entry.name);
        let index = match self.targets.iter().position(Option::is_none) {
            Some(index) => index,
            None => {
                self.targets.push(None);
                self.targets.len() - 1
            }
        };
        self.by_name.insert(record.entry.name.clone(), index);
        let service = self.service_index(&record.entry.service);
        let warmed_up_at = now + record.entry.warm_up_ms;
        self.targets[index] = Some(Target { record, token, service, since: now, warmed_up_at });
        self.assign_token(token);
        self.rebuild_lists();
        Change::Restarted(index)
    }

    fn update(&mut self, index: usize, record: Record, now: Time) {
        let service = self.service_index(&record.entry.service);
        let Some(target) = &mut self.targets[index] else {
            return;
        };
        if target.record.state != record.state {
            target.since = now;
        }
        if record.state <= State::Leaving && record.entry != target.record.entry {
            target.warmed_up_at = now + record.entry.warm_up_ms;
        }
        let is_restarted = target.record.entry.born_ms != record.entry.born_ms;
        let is_relisted = is_restarted || target.service != service || target.record.state != record.state;
        let token = target.token;
        target.service = service;
        target.record = record;
        if is_restarted {
            self.assign_token(token);
        }
        if is_relisted {
            self.rebuild_lists();
        }
    }

    /// A record as the catalog has it, if it is of the same revision: it may know a later state
    /// than a record that was restored from a backup.
    pub fn reconciled(&self, record: Record) -> Record {
        let known = self.by_name.get(&record.entry.name).and_then(|index| self.target(*index));
        match known {
            Some(target) if target.record.revision == record.revision => target.record.clone(),
            _ => record,
        }
    }

    /// Whether a service has targets, but all that would get new flows are in evacuated zones.
    pub fn is_evacuated(&self, service: usize) -> bool {
        let targets = self.service_targets(service).iter().filter_map(|index| self.target(*index));
        let mut running = targets.filter(|target| !target.is_draining()).peekable();
        running.peek().is_some() && running.all(|target| self.evacuations.contains(&target.record.entry.zone))
    }

    /// Gives a token to the oldest of the targets that have it, as that one may have open
    /// flows.
    fn assign_token(&mut self, token: Token) {
        let targets = self.targets.iter().enumerate();
        let named = targets.filter_map(|(index, target)| Some((index, target.as_ref()?)));
        let sharing = named.filter(|(_, target)| target.token == token);
        let oldest = sharing.min_by_key(|(_, target)| target.seniority()).map(|(index, _)| index);
        match oldest {
            Some(index) => self.by_token.insert(token, index),
            None => self.by_token.remove(&token),
        };
    }

    fn service_index(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.services.iter().position(|known| known == name) {
            return index;
        }
        self.services.push(name.clone());
        self.service_targets.push(Vec::new());
        self.services.len() - 1
    }

    /// Rebuilds the lists of targets by service.
    fn rebuild_lists(&mut self) {
        self.list_version += 1;
        for service_targets in &mut self.service_targets {
            service_targets.clear();
        }
        for (index, target) in self.targets.iter().enumerate() {
            let Some(target) = target else {
                continue;
            };
            // A target whose token belongs to another one would lose its packets to it.
            let holds_token = self.by_token.get(&target.token) == Some(&index);
            if target.record.state != State::Gone && holds_token {
                self.service_targets[target.service].push(index);
            }
        }
    }
}
