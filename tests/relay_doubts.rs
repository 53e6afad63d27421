//! What instances hold against targets, and what they tell of it.

use ragwortlb::{relay::doubt::Doubts, time::Time};

#[test]
fn told_when_contested() {
    let mut doubts = Doubts::default();
    doubts.clear(0, Time(1_000));
    doubts.hear(0, 0, Time(1_010));
    assert!(!doubts.is_refuted(0, Time(1_020)), "nobody holds anything against it");
    doubts.hear(0, 1, Time(1_030));
    assert!(doubts.is_refuted(0, Time(1_040)));
    assert!(!doubts.is_refuted(0, Time(3_000)), "the answer is too old");
}
