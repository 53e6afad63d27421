//! Failures of targets, and answers that contradict the failures that peers report.

use ragwortlb::{relay::outlier::Outliers, time::Time};

#[test]
fn contradicted_failures() {
    let mut outliers = Outliers::default();
    outliers.record_answer(0, Time(1_000));
    outliers.record_peer(0, 0, Time(1_010));
    assert!(!outliers.contradicts_peers(0, Time(1_020)), "no peer has reported failures");
    outliers.record_peer(0, 1, Time(1_030));
    assert!(outliers.contradicts_peers(0, Time(1_040)));
    assert!(!outliers.contradicts_peers(0, Time(3_000)), "the answer is too old");
}
