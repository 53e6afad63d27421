//! Memory of cached answers.

use std::sync::Arc;

use ragwortlb::{
    retry::record::{Answers, MAX_ANSWER_BYTES},
    time::Time,
    wire::{Flow, RequestId, ServiceId},
};

#[test]
fn replaced_answer() {
    let answer: Arc<[u8]> = vec![7; MAX_ANSWER_BYTES / 4].into();
    let ids: Vec<RequestId> =
        (0..3).map(|number| RequestId { flow: Flow { service: ServiceId(1), id: 1 }, number }).collect();
    let mut answers = Answers::default();
    for id in &ids {
        answers.keep(*id, answer.clone(), Time(1));
    }
    // The same answer again takes no further memory, so no other is evicted.
    answers.keep(ids[0], answer.clone(), Time(2));
    answers.keep(ids[0], answer.clone(), Time(3));
    assert!(ids.iter().all(|id| answers.get(*id).is_some()));
}
