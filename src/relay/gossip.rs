/*!
Gossip between instances on the packet path: messages and their encoding.

[`Report`] is the load report: the sender's flows by target, many times a
second. [`Update`] passes on records that a store reader has read. [`Member`]s
announce the addresses of instances, as only store readers see new
registrations.

Each message fits into one datagram, may be lost, and is validated when it is
decoded. An instance that missed updates fetches a [`Snapshot`] over TCP and sends its
[`KnownState`] first, so that it gets no more than it lacks.

# Example

```
use ragwortlb::relay::gossip::{Frame, Message, Report};

let report = Report { revision: 7.into(), ..Report::default() };
let frame = Frame { sender: "pa-1".into(), zone: "pa".into(), message: Message::Report(report) };
assert_eq!(Frame::from_bytes(&frame.to_bytes()).unwrap(), frame);
assert!(Frame::from_bytes(b"nonsense").is_err());
```
*/

use std::{net::SocketAddrV4, num::TryFromIntError, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Plan, PlanId, Token,
    catalog::{Mark, Record},
    evacuation::Evacuation,
    flows::FlowKey,
    revision::Revision,
};
use crate::Error;

/// Version of the encoding.
const VERSION: u8 = 6;

/// Longest datagram, in bytes, to fit into one packet on common links.
pub const MAX_FRAME_BYTES: usize = 1_400;

/// Longest snapshot, in bytes: twice the largest value in the platform's store.
pub const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;

/// Bytes of evacuations in one datagram: what the longest record leaves of it.
const MAX_EVACUATIONS_BYTES: usize = 500;

/// Bytes of records and evacuations in one datagram, unless one record is longer.
const MAX_RECORDS_BYTES: usize = 1_200;

/// Flows and failures of one target, as the sender counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "EncodedLoad", into = "EncodedLoad")]
pub struct Load {
    /// Target.
    pub token: Token,
    /// Flows with a request there.
    pub running: u32,
    /// Idle flows.
    pub idle: u32,
    /// Consecutive opening packets that the target left unanswered.
    pub failures: u32,
    /// Whether the target recently answered the sender while peers report failures.
    pub is_responsive: bool,
}

/// Encoding of a [`Load`]. Health takes one field, as most reports consist of many loads.
#[derive(Deserialize, Serialize)]
struct EncodedLoad {
    /// Of fixed length, as tokens are hashes: most would take five bytes otherwise.
    #[serde(with = "postcard::fixint::le")]
    token: u32,
    running: u32,
    idle: u32,
    /// Twice the failures, plus one if the target is responsive.
    health: u32,
}

impl From<Load> for EncodedLoad {
    fn from(load: Load) -> EncodedLoad {
        let Load { token, running, idle, failures, is_responsive } = load;
        let health = failures.min(u32::MAX / 2) * 2 + u32::from(is_responsive);
        EncodedLoad { token: token.0, running, idle, health }
    }
}

impl From<EncodedLoad> for Load {
    fn from(encoded: EncodedLoad) -> Load {
        let EncodedLoad { token, running, idle, health } = encoded;
        Load { token: Token(token), running, idle, failures: health / 2, is_responsive: health % 2 == 1 }
    }
}

/// State of the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "EncodedReport", into = "EncodedReport")]
pub struct Report {
    /// Store revision up to which the sender's targets are complete.
    pub revision: Revision,
    /// Its plan.
    pub plan: PlanId,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Targets with flows or failures.
    pub loads: Vec<Load>,
    /// Flows that the fabric has moved to the sender since its last report, at most
    /// [`MAX_MOVED`].
    pub moved: Vec<FlowKey>,
    /// Flows whose end the sender saw, and which another instance may still count, at most
    /// [`MAX_MOVED`].
    pub ended: Vec<FlowKey>,
}

/// Encoding of a [`Report`]. It is sent many times a second, so that each byte counts.
#[derive(Deserialize, Serialize)]
struct EncodedReport {
    /// Twice the era of the revision, plus one if the sender is shutting down.
    era: u64,
    number: u64,
    plan: PlanId,
    loads: Vec<Load>,
    moved: Vec<FlowKey>,
    ended: Vec<FlowKey>,
}

impl From<Report> for EncodedReport {
    fn from(report: Report) -> EncodedReport {
        let Report { revision, plan, is_leaving, loads, moved, ended } = report;
        let era = u64::from(revision.era) * 2 + u64::from(is_leaving);
        EncodedReport { era, number: revision.number, plan, loads, moved, ended }
    }
}

impl TryFrom<EncodedReport> for Report {
    type Error = TryFromIntError;

    fn try_from(encoded: EncodedReport) -> Result<Report, TryFromIntError> {
        let EncodedReport { era, number, plan, loads, moved, ended } = encoded;
        let revision = Revision::new(u32::try_from(era / 2)?, number);
        Ok(Report { revision, plan, is_leaving: era % 2 == 1, loads, moved, ended })
    }
}

/// Most moved or ended flows in a report, to fit into a datagram beside the loads of a cell.
pub const MAX_MOVED: usize = 32;

/// Target records that changed between two store revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Update {
    /// Revision that a receiver must have reached, or it has missed an update.
    pub after: Revision,
    /// Revision that the receiver reaches with this update.
    pub revision: Revision,
    /// Whether it follows from a list of all targets, so that it lacks the ends of targets that
    /// the sender did not know. A receiver must then have reached `after` exactly.
    pub is_list: bool,
    /// Plan of the sender. A receiver with an older plan has to fetch it.
    pub plan_mark: Mark,
    /// Evacuations that the sender knows, as many as fit into a datagram.
    pub evacuations: Vec<Evacuation>,
    /// Changed records.
    #[serde(rename = "rows")]
    pub records: Vec<Record>,
}

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address that it receives messages at.
    pub address: SocketAddrV4,
}

/// Most members in one message, to fit into a datagram.
pub const MAX_MEMBERS: usize = 24;

/// Most members in a snapshot: twice the largest supported fleet.
pub const MAX_SNAPSHOT_MEMBERS: usize = 1_200;

/// Message between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// State of the sender.
    Report(Report),
    /// Changes read from the store.
    Update(Update),
    /// Some of the live peers of the sender.
    Members(Vec<Member>),
}

/// Message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Frame {
    /// Sender's name.
    pub sender: Arc<str>,
    /// Sender's availability zone.
    pub zone: Arc<str>,
    /// Message.
    #[serde(rename = "news")]
    pub message: Message,
}

/// Request for a snapshot: the state that the sender has already.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct KnownState {
    /// Store revision up to which its targets are complete; zero if it has none.
    pub revision: Revision,
    /// Latest store revision of which it has a record.
    pub seen_revision: Revision,
    /// Its plan; the default one if it has none.
    pub plan: PlanId,
}

/// Longest request for a snapshot, in bytes.
pub const MAX_KNOWN_STATE_BYTES: usize = 64;

/// State of an instance: targets, routes and members, less what the receiver has already.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Store revision up to which the receiver's targets are complete with it; zero if the
    /// sender has no state.
    pub revision: Revision,
    /// Plan of the sender.
    pub plan_mark: Mark,
    /// Plan in effect; version zero if the receiver has it.
    pub plan: Plan,
    /// Whether it lists all targets, rather than those that have changed.
    pub is_complete: bool,
    /// Records of the targets.
    #[serde(rename = "rows")]
    pub records: Vec<Record>,
    /// Evacuations that the sender knows.
    pub evacuations: Vec<Evacuation>,
    /// Instances known to the sender, at most [`MAX_SNAPSHOT_MEMBERS`], for a receiver that
    /// has just started.
    pub members: Vec<Member>,
}

impl Frame {
    /// Encodes the frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// The bytes are not a frame of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Frame, Error> {
        decode("read a peer's frame", bytes)
    }
}

impl KnownState {
    /// Encodes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// The bytes are not a request of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<KnownState, Error> {
        decode("read a request for a snapshot", bytes)
    }
}

impl Snapshot {
    /// Encodes the snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot, Error> {
        decode("read a peer's snapshot", bytes)
    }
}

/// Splits an update into parts that each fit into a datagram. Each part ends at the
/// revision that the next one requires, so a lost part shows as a gap. If records of one
/// revision do not fit into a datagram, the result has no records and requires its own
/// revision; receivers then see a gap and fetch a snapshot. Each part carries the evacuations: an
/// instance that advances without them would not read them again. If they do not fit, receivers
/// see a gap too.
pub fn split(update: Update) -> Vec<Update> {
    let Update { mut after, revision, is_list, plan_mark, evacuations, mut records } = update;
    let zones = evacuations.len();
    let evacuations = fitting(evacuations);
    if evacuations.len() < zones {
        (after, records) = (revision, Vec::new());
    }
    let max_bytes = MAX_RECORDS_BYTES - evacuations.iter().filter_map(size).sum::<usize>();
    let part = |after, revision, records| Update {
        after,
        revision,
        is_list,
        plan_mark,
        evacuations: evacuations.clone(),
        records,
    };
    records.sort_by_key(|record| record.revision);
    let mut parts = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = size(&record).unwrap_or(MAX_RECORDS_BYTES);
        if bytes + size > max_bytes && !batch.is_empty() {
            // Records up to the required revision, such as ends of missing targets, must not
            // lower it: a receiver that lacks later ones would count as complete.
            let reached = batch.last().map_or(after, |last: &Record| last.revision.max(after));
            if reached == record.revision && reached > after {
                (parts, batch, after) = (Vec::new(), Vec::new(), revision);
                break;
            }
            parts.push(part(after, reached, std::mem::take(&mut batch)));
            after = reached;
            bytes = 0;
        }
        bytes += size;
        batch.push(record);
    }
    parts.push(part(after, revision, batch));
    parts
}

/// Evacuations that fit into a datagram: the active ones first, then the latest.
fn fitting(mut evacuations: Vec<Evacuation>) -> Vec<Evacuation> {
    evacuations.sort_by_key(|known| std::cmp::Reverse((known.is_active, known.revision)));
    let mut bytes = 0;
    evacuations.retain(|evacuation| {
        bytes += size(evacuation).unwrap_or(MAX_EVACUATIONS_BYTES);
        bytes <= MAX_EVACUATIONS_BYTES
    });
    evacuations
}

/// Encoded size of a value, in bytes.
fn size(value: &impl Serialize) -> Option<usize> {
    postcard::experimental::serialized_size(value).ok()
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("encoding into memory does not fail")
}

fn decode<T: DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T, Error> {
    let Some((&VERSION, rest)) = bytes.split_first() else {
        return Err(Error::new(step, "unsupported version of the encoding"));
    };
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(Error::new(step, format!("{} trailing bytes", rest.len()))),
        Err(error) => Err(Error::new(step, error.to_string())),
    }
}
