/*!
Messages between instances, and their bytes.

A frame is one version byte and a list of messages in postcard's encoding. Bytes
from a peer are checked when they are read: lengths, digests and filters that
cannot be are an [`Error`], never a panic.

# Example

```
use ragwortlb::wire::{Frame, Message};

let frame = Frame { sender: "pa-1".into(), messages: vec![Message::GetHead] };
let bytes = frame.to_bytes();
assert_eq!(Frame::from_bytes(&bytes).unwrap(), frame);
assert!(Frame::from_bytes(&bytes[1..]).is_err());
```
*/

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Error,
    config::{
        File, Folder,
        revision::{Bundle, Digest, Head, Manifest},
    },
    member::{self, Heartbeat},
    retry::record::Holder,
    route::{
        change::Version,
        filter::{Filter, SlotSet},
        router::TargetId,
    },
};

/// Version of the encoding.
const VERSION: u8 = 1;

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Identity of a service between instances: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct ServiceId(#[serde(with = "postcard::fixint::le")] pub u32);

impl ServiceId {
    /// Identity of a name.
    pub fn of(name: &str) -> ServiceId {
        ServiceId(crate::hash::name(name) as u32)
    }
}

/// Flow of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Flow {
    /// Service.
    pub service: ServiceId,
    /// Hash of the flow's key.
    #[serde(with = "postcard::fixint::le")]
    pub id: u64,
}

/// Request of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestId {
    /// Flow.
    pub flow: Flow,
    /// Number that the caller gave.
    pub number: u64,
}

/// Filter of the old flows of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PinnedFilter {
    /// Service.
    pub service: ServiceId,
    /// Target that the flows stay on: its name in tables.
    pub target: Arc<str>,
    /// Slots that the flows are in.
    pub slots: SlotSet,
    /// The flows.
    pub filter: Filter,
}

/// One round of collecting filters: a version, and who takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Round {
    /// Version in force.
    pub version: Version,
    /// Hash of the names of all participants.
    #[serde(with = "postcard::fixint::le")]
    pub participants: u64,
}

/// Outcome of a request as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// Whole answer of the target.
    Done(Arc<[u8]>),
    /// The target's own error.
    Failed(Arc<str>),
    /// It did not run.
    NotRun(Arc<str>),
    /// It may have run.
    Unknown(Arc<str>),
}

/// How a request ended, without its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Completion {
    /// It ran; the instance that ran it holds the answer.
    Done,
    /// The target's own error.
    Failed(Arc<str>),
    /// It did not run.
    NotRun(Arc<str>),
    /// It may have run.
    Unknown(Arc<str>),
}

impl From<&Outcome> for Completion {
    fn from(outcome: &Outcome) -> Completion {
        match outcome {
            Outcome::Done(_) => Completion::Done,
            Outcome::Failed(what) => Completion::Failed(what.clone()),
            Outcome::NotRun(why) => Completion::NotRun(why.clone()),
            Outcome::Unknown(why) => Completion::Unknown(why.clone()),
        }
    }
}

/// What one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the head in force.
    GetHead,
    /// Head in force and its manifest.
    Head(Head, Manifest),
    /// Asks for documents.
    GetFiles(Vec<Digest>),
    /// Content of documents.
    Files(Vec<Vec<u8>>),
    /// States of targets that are not serving.
    Targets(Vec<TargetState>),
    /// Asks a keeper to keep an exception.
    Register(u32, Flow, TargetId),
    /// Keeper's answer: the target that stands.
    RegisterReply(u32, Option<TargetId>),
    /// Asks a keeper for a flow.
    LookupFlow(u32, Flow),
    /// Answer: the target, and whether the sender holds or keeps the flow. If not,
    /// it has ended the change and computed the target.
    LookupReply(u32, Option<TargetId>, bool),
    /// Exceptions handed to a new keeper.
    TransferExceptions(Vec<(Flow, TargetId)>),
    /// Old flows that the sender holds, for the instance that unites them.
    FilterPart(Round, Vec<PinnedFilter>),
    /// United old flows of all participants.
    FilterUnion(Round, Vec<PinnedFilter>),
    /// Flows of an instance that leaves, for the one that answers for them.
    Handover(Vec<PinnedFilter>),
    /// The heritage is held.
    HandoverAck,
    /// Asks a peer for what a joining instance needs.
    GetSnapshot,
    /// What a joining instance needs.
    Snapshot(Snapshot),
    /// Asks the first keeper of a request for leave to run it.
    Claim(u32, RequestId, bool),
    /// Keeper's answer to a claim.
    ClaimReply(u32, ClaimReply),
    /// Copy of a record for the second keeper.
    Replicate(u32, RequestId, Holder),
    /// Second keeper's answer.
    Replicated(u32, bool),
    /// A request that the sender claimed under this number has ended.
    Finish(RequestId, u32, Completion),
    /// Record that has ended, for a new keeper.
    TransferRecord(RequestId, Holder, Completion),
    /// Asks the instance that ran a request for its outcome.
    GetOutcome(RequestId),
    /// Outcome of a request that the receiver joined.
    Outcome(RequestId, Outcome),
    /// Asks a home instance for a slot: service, one target or any, milliseconds left.
    RequestSlot(u32, ServiceId, Option<TargetId>, u32),
    /// A slot is lent.
    SlotLeased(u32, ServiceId, TargetId),
    /// A lent slot is free again, or the question is withdrawn.
    ReleaseSlot(u32),
    /// No slot is lent.
    SlotDenied(u32),
}

/// State of a target that is not serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct TargetState {
    /// Service.
    pub service: ServiceId,
    /// Target.
    pub target: TargetId,
    /// Counter of its states: even while serving, odd while leaving.
    pub epoch: u32,
    /// Whether it is gone for good.
    pub gone: bool,
}

/// Keeper's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimReply {
    /// The request may run.
    Granted,
    /// It runs at this instance; its ending will follow.
    InProgress(Arc<str>),
    /// It has ended at this instance.
    Ended(Arc<str>, Completion),
    /// An earlier attempt may have run and nothing is known of it.
    RecordLost,
    /// No attempt has run, but not all keepers could hold a copy.
    NotReplicated,
    /// The instance is not the first keeper, or has no room.
    Refused,
}

/// Table of a service, by what it is computed from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Base {
    /// Service.
    pub service: ServiceId,
    /// Names of targets in tables, and their weights.
    pub members: Vec<(Arc<str>, u32)>,
    /// Slots that are unsettled.
    pub unsettled: SlotSet,
}

/// What a joining instance takes over from a serving one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Version in force at the sender.
    pub version: Version,
    /// Whether it is settled there.
    pub settled: bool,
    /// Version that the sender knows all others to be ready for.
    pub ended: Version,
    /// Tables that some instances may still have in force.
    pub bases: Vec<Base>,
    /// Filters of old flows.
    #[serde(rename = "old")]
    pub pinned: Vec<PinnedFilter>,
    /// Live instances, the sender among them.
    pub roster: Vec<member::Info>,
}

/// Messages of one instance, sent together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Frame {
    /// Name of the sender.
    pub sender: Arc<str>,
    /// Messages in order.
    pub messages: Vec<Message>,
}

impl Frame {
    /// Encodes the frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).expect("every message has an encoding")
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Bytes that are no frame of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Frame, Error> {
        let fail = |what: String| Error::new("read a peer's frame", what);
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(fail(format!("{} bytes, over the limit of {MAX_FRAME_BYTES}", bytes.len())));
        }
        match bytes.split_first() {
            Some((&VERSION, rest)) => decode(rest).map_err(|error| fail(error.to_string())),
            Some((version, _)) => Err(fail(format!("version {version}, expected {VERSION}"))),
            None => Err(fail("no bytes".to_owned())),
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Frame, postcard::Error> {
    let (frame, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(postcard::Error::DeserializeBadEncoding);
    }
    Ok(frame)
}

impl Message {
    /// Kind of the message, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Heartbeat(_) => "heartbeat",
            Message::GetHead | Message::Head(..) | Message::GetFiles(_) | Message::Files(_) => "config",
            Message::Targets(_) => "targets",
            Message::Register(..) | Message::RegisterReply(..) | Message::TransferExceptions(_) => {
                "exception"
            }
            Message::LookupFlow(..) | Message::LookupReply(..) => "query",
            Message::FilterPart(..) | Message::FilterUnion(..) => "filter",
            Message::Handover(_) | Message::HandoverAck => "heritage",
            Message::GetSnapshot | Message::Snapshot(_) => "snapshot",
            Message::Claim(..)
            | Message::ClaimReply(..)
            | Message::Replicate(..)
            | Message::Replicated(..) => "claim",
            Message::Finish(..)
            | Message::TransferRecord(..)
            | Message::GetOutcome(_)
            | Message::Outcome(..) => "outcome",
            Message::RequestSlot(..)
            | Message::SlotLeased(..)
            | Message::ReleaseSlot(_)
            | Message::SlotDenied(_) => "slot",
        }
    }

    /// Size in a frame, in bytes.
    pub fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}

impl From<&Bundle> for Message {
    fn from(bundle: &Bundle) -> Message {
        Message::Head(bundle.head.clone(), Manifest::of(&bundle.folder))
    }
}

/// Joins a manifest with the content of its documents.
///
/// # Errors
///
/// A document that is missing, or a head that names another manifest.
pub fn assemble(head: Head, manifest: &Manifest, content: &[(Digest, Vec<u8>)]) -> Result<Bundle, Error> {
    let mut files = Vec::new();
    for document in &manifest.files {
        let found = content.iter().find(|(digest, _)| *digest == document.digest);
        let Some((_, bytes)) = found else {
            return Err(Error::new("join a revision", format!("document {} is missing", document.name)));
        };
        files.push(File::new(document.name.clone(), bytes.clone()));
    }
    Bundle::new(head, Folder::new(files))
}
