//! What instances hold against targets, and what they tell of it.

use ragwortlb::{relay::outlier::Outliers, time::Time};

#[test]
fn told_when_contested() {
    let mut outliers = Outliers::default();
    outliers.clear(0, Time(1_000));
    outliers.record_peer(0, 0, Time(1_010));
    assert!(!outliers.is_refuted(0, Time(1_020)), "nobody holds anything against it");
    outliers.record_peer(0, 1, Time(1_030));
    assert!(outliers.is_refuted(0, Time(1_040)));
    assert!(!outliers.is_refuted(0, Time(3_000)), "the answer is too old");
}
