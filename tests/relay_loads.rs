//! Sums of the flows that peers report.

use std::collections::HashMap;

use proptest::prelude::*;
use ragwortlb::{
    relay::load::{Loads, Report},
    time::Time,
};

const TARGETS: usize = 4;

/// A peer's report that is valid for some time, or the removal of expired ones.
type Step = Option<(u64, Vec<(usize, u32, u32)>, u64)>;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reports = prop::collection::vec((0..TARGETS, 0u32..5, 0u32..5), 0..6);
    prop::collection::vec(prop::option::of((0u64..3, reports, 1u64..5)), 0..40)
}

proptest! {
    #[test]
    fn latest_reports(steps in steps()) {
        let mut loads = Loads::default();
        let mut latest: HashMap<u64, (Vec<Report>, Time)> = HashMap::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = Time(now as u64);
            match step {
                Some((peer, reports, valid_ms)) => {
                    let reports: Vec<_> = reports
                        .into_iter()
                        .map(|(target, running, idle)| Report { target, running, idle })
                        .collect();
                    loads.report(peer, reports.clone(), now + valid_ms);
                    latest.insert(peer, (reports, now + valid_ms));
                }
                None => {
                    loads.expire(now);
                    latest.retain(|_, (_, valid_until)| *valid_until > now);
                }
            }
            for target in 0..TARGETS {
                let known = latest.values().flat_map(|(reports, _)| reports);
                let known = known.filter(|report| report.target == target);
                let (running, idle) =
                    known.fold((0, 0), |sum, report| (sum.0 + report.running, sum.1 + report.idle));
                prop_assert_eq!(loads.running(target), running);
                prop_assert_eq!(loads.flows(target), running + idle);
            }
        }
    }
}
