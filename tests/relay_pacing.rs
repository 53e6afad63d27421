//! When requests on open flows start at a target that is full, and how long records of flows
//! are kept.

use std::net::{Ipv4Addr, SocketAddrV4};

use ragwortlb::{
    relay::{
        flows::{Activity, Flow, FlowKey, Flows, IDLE_COUNTED_MS},
        pacing::{Pacing, Request},
    },
    time::Time,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const FULL: Request = Request { target: 0, running: 6.0, slots: 3.0, limit: 6.0, class: 1, instances: 7 };

#[test]
fn free_slot() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pacing = Pacing::default();
    for _ in 0..100 {
        assert!(pacing.admit(&Request { running: 2.0, ..FULL }, &mut random), "nothing waits");
    }
}

#[test]
fn slot_handed_over() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pacing = Pacing::default();
    assert!(!pacing.admit(&FULL, &mut random));
    pacing.record_end(0);
    pacing.tick();
    // One request of this instance has ended, so one starts; the rest is for other instances.
    let request = Request { running: 5.99, ..FULL };
    let started = (0..20).filter(|_| pacing.admit(&request, &mut random)).count();
    assert_eq!(started, 1);
}

#[test]
fn shared_capacity() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let request = Request { running: 2.5, ..FULL };
    let mut started = 0;
    let rounds = 1_000;
    for _ in 0..rounds {
        for _ in 0..request.instances {
            let mut pacing = Pacing::default();
            assert!(!pacing.admit(&FULL, &mut random));
            pacing.tick();
            started += (0..5).filter(|_| pacing.admit(&request, &mut random)).count();
        }
    }
    let mean = started as f32 / rounds as f32;
    assert!((mean - 3.5).abs() < 0.2, "{mean} requests started for 3.5 that the target has room for");
}

#[test]
fn queue_forgotten() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pacing = Pacing::default();
    assert!(!pacing.admit(&FULL, &mut random));
    (0..3).for_each(|_| pacing.tick());
    assert!((0..10).all(|_| pacing.admit(&Request { running: 2.9, ..FULL }, &mut random)));
}

#[test]
fn late_request() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pacing = Pacing::default();
    // A late request gets 0.8 of the slots at most, also if nothing waits.
    let request = Request { running: 2.4, limit: 2.4, class: 0, ..FULL };
    assert!((0..10).all(|_| !pacing.admit(&request, &mut random)));
}

fn flow(activity: Activity, expires: u64) -> Flow {
    Flow {
        target: 0,
        activity,
        started: Time(0),
        requested: None,
        spans_packets: false,
        last_active: Time(0),
        acked: 0,
        answers: 0,
        is_sample: false,
        is_own: true,
        expires: Time(expires),
    }
}

fn key(port: u16) -> FlowKey {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    FlowKey::of(client, SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443))
}

#[test]
fn running_becomes_idle() {
    let mut flows = Flows::default();
    flows.insert(key(1), flow(Activity::Running, 2_000));
    assert!(flows.expire(Time(1_999)).is_empty());
    assert_eq!(flows.expire(Time(2_000)).len(), 1);
    assert_eq!(flows.get(key(1)).map(|flow| flow.activity), Some(Activity::Idle));
    assert_eq!(flows.expire(Time(2_000 + IDLE_COUNTED_MS)).len(), 1);
    assert!(flows.is_empty());
}

#[test]
fn expiry_put_off() {
    let mut flows = Flows::default();
    flows.insert(key(1), flow(Activity::Running, 100));
    flows.get_mut(key(1)).expect("the flow was added").expires = Time(500);
    assert!(flows.expire(Time(400)).is_empty());
    flows.limit_expiry(Time(450));
    assert_eq!(flows.expire(Time(450)).len(), 1);
}

#[test]
fn replaced_record() {
    let mut flows = Flows::default();
    flows.insert(key(1), flow(Activity::Opening, 100));
    assert!(flows.remove(key(1)).is_some());
    flows.insert(key(1), flow(Activity::Opening, 300));
    assert!(flows.expire(Time(200)).is_empty(), "the expiry of the removed record is outdated");
    assert_eq!(flows.expire(Time(300)).len(), 1);
    assert!(flows.is_empty());
}

#[test]
fn acknowledged_answer() {
    let running = Flow { acked: u32::MAX - 10, ..flow(Activity::Running, 100) };
    assert!(!running.is_answered_by(u32::MAX - 10));
    assert!(!running.is_answered_by(u32::MAX - 100), "an acknowledgement that arrived late");
    assert!(running.is_answered_by(20), "sequence numbers wrap around");
}
