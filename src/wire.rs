/*!
Messages between instances and their encoding.

A frame is a version byte followed by a sender and its messages in the postcard
encoding, so the order of variants and fields is part of the format. Decoding
checks everything that a peer sends: a frame that is too long, or an invalid
digest, filter or slot set, is an [`Error`], never a panic.

Messages that expect a reply carry a query id chosen by the sender; the reply
repeats it. A *replica* of a flow or request is one of the two instances that
store its exception or record (see [`crate::route`] and [`crate::retry`]).

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

/// Version of the encoding; frames of any other version are rejected.
const VERSION: u8 = 1;

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Id of a service between instances: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct ServiceId(#[serde(with = "postcard::fixint::le")] pub u32);

impl ServiceId {
    /// Id of the service with a name.
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

/// Id of a request, the same for all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct RequestId {
    /// Flow.
    pub flow: Flow,
    /// Number that the customer gave the request, unique in its flow.
    pub number: u64,
}

/// Pinned flows of one target: opened under an earlier table, and still on that target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PinnedFilter {
    /// Service.
    pub service: ServiceId,
    /// Target of the flows, as `NAME@ADDRESS`.
    pub target: Arc<str>,
    /// Hash slots of the flows.
    pub slots: SlotSet,
    /// Bloom filter of the flows.
    pub filter: Filter,
}

/// Id of a round in which instances exchange their filters of pinned flows.
///
/// A round is restarted under another id if the version or the participants change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Round {
    /// Effective version of the table inputs.
    pub version: Version,
    /// Hash of the names of all participants.
    #[serde(with = "postcard::fixint::le")]
    pub participants: u64,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// Complete answer of the target.
    Done(Arc<[u8]>),
    /// The target ran the request and reported an error.
    Failed(Arc<str>),
    /// The request did not run, for this reason.
    NotRun(Arc<str>),
    /// The request may have run, for this reason.
    Unknown(Arc<str>),
}

/// Outcome of a request without the body of its answer, as replicas store it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Completion {
    /// The request ran; the instance that ran it stores the answer.
    Done,
    /// The target ran the request and reported an error.
    Failed(Arc<str>),
    /// The request did not run, for this reason.
    NotRun(Arc<str>),
    /// The request may have run, for this reason.
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

/// Message from one instance to another.
///
/// A leading `u32` is a query id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// Requests the adopted configuration head.
    GetHead,
    /// Reply to [`Message::GetHead`].
    Head(Head, Manifest),
    /// Requests documents by their digests.
    GetFiles(Vec<Digest>),
    /// Content of documents; fewer than requested if they exceed the size limit.
    Files(Vec<Vec<u8>>),
    /// Changed states of targets.
    Targets(Vec<TargetState>),
    /// Asks a replica to store an exception.
    Register(u32, Flow, TargetId),
    /// Target under which the exception is stored; an earlier registration wins.
    /// Nothing if the replica has no free space.
    RegisterReply(u32, Option<TargetId>),
    /// Asks for the target of a flow.
    LookupFlow(u32, Flow),
    /// Target of the flow, and whether the sender has the flow tracked or stored.
    /// If not, the target is computed from the sender's settled table and filters.
    LookupReply(u32, Option<TargetId>, bool),
    /// Exceptions for an instance that has become one of their replicas.
    TransferExceptions(Vec<(Flow, TargetId)>),
    /// Filters of the sender's pinned flows, for the instance that merges them.
    FilterPart(Round, Vec<PinnedFilter>),
    /// Filters that the sender merged from the parts of all participants.
    FilterUnion(Round, Vec<PinnedFilter>),
    /// Flows of a draining instance, for the peer that reports them in later changes.
    Handover(Vec<PinnedFilter>),
    /// Acknowledges a handover.
    HandoverAck,
    /// Requests a snapshot, to join or to catch up with a change.
    GetSnapshot,
    /// Reply to [`Message::GetSnapshot`].
    Snapshot(Snapshot),
    /// Asks the primary replica of a request for permission to run it; true for the
    /// customer's first attempt.
    Claim(u32, RequestId, bool),
    /// Reply to [`Message::Claim`].
    ClaimReply(u32, ClaimReply),
    /// Copy of a running request's record for another replica.
    Replicate(u32, RequestId, Holder),
    /// Reply to [`Message::Replicate`]: whether the copy is stored.
    Replicated(u32, bool),
    /// Completion of a request that the sender claimed with this query id.
    Finish(RequestId, u32, Completion),
    /// Completed record for an instance that has become one of its replicas.
    TransferRecord(RequestId, Holder, Completion),
    /// Requests the outcome from the instance that ran the request.
    GetOutcome(RequestId),
    /// Outcome for the attempts at the receiver that wait for another attempt.
    Outcome(RequestId, Outcome),
    /// Requests a concurrency slot from its owner: service, target (any if absent),
    /// and longest wait in milliseconds.
    RequestSlot(u32, ServiceId, Option<TargetId>, u32),
    /// Leases a slot of this target.
    SlotLeased(u32, ServiceId, TargetId),
    /// Ends a lease, or cancels the request for it.
    ReleaseSlot(u32),
    /// No slot is leased: none became free in time, or the service or target is unknown.
    SlotDenied(u32),
}

/// State of a target, as gossiped between instances; a greater epoch replaces a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub struct TargetState {
    /// Service.
    pub service: ServiceId,
    /// Target.
    pub target: TargetId,
    /// Number of state changes: even while the target serves, odd while it leaves.
    pub epoch: u32,
    /// Whether it has stopped, so that its flows are dropped.
    pub gone: bool,
}

/// Reply of the primary replica to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimReply {
    /// The request may run.
    Granted,
    /// Another attempt runs at this instance; its outcome will follow.
    InProgress(Arc<str>),
    /// Another attempt was completed at this instance.
    Ended(Arc<str>, Completion),
    /// An earlier attempt may have run, but its record or its instance is lost.
    RecordLost,
    /// No attempt has run, but a replica could not store a copy of the record.
    NotReplicated,
    /// The instance is not the primary replica, or its record table is full.
    Refused,
}

/// Base table of a service: the last table that every instance had in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct BaseTable {
    /// Service.
    pub service: ServiceId,
    /// Targets as `NAME@ADDRESS` with their weights; the table is computed from these.
    pub members: Vec<(Arc<str>, u32)>,
    /// Unsettled hash slots: not all instances have finished their change yet.
    pub unsettled: SlotSet,
}

/// Routing state that a joining or lagging instance takes over from a serving one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Effective version at the sender.
    pub version: Version,
    /// Whether no change is in progress at the sender.
    pub settled: bool,
    /// Latest version whose change is settled at the sender.
    pub ended: Version,
    /// Tables that other instances may still have in effect.
    pub bases: Vec<BaseTable>,
    /// Active filters of pinned flows.
    #[serde(rename = "old")]
    pub pinned: Vec<PinnedFilter>,
    /// Live instances, the sender among them.
    pub roster: Vec<member::Info>,
}

/// Messages of one instance that are sent together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Frame {
    /// Name of the sender.
    pub sender: Arc<str>,
    /// Messages in order.
    pub messages: Vec<Message>,
}

impl Frame {
    /// Encodes the frame. Its length is not limited here.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).expect("every message has an encoding")
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// The bytes exceed [`MAX_FRAME_BYTES`], have another version, or cannot be decoded.
    pub fn from_bytes(bytes: &[u8]) -> Result<Frame, Error> {
        let fail = |what: String| Error::new("read a peer's frame", what);
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(fail(format!("{} bytes, over the limit of {MAX_FRAME_BYTES}", bytes.len())));
        }
        match bytes.split_first() {
            Some((&VERSION, rest)) => decode(rest).map_err(|error| fail(error.to_string())),
            Some((version, _)) => Err(fail(format!("version {version}, expected {VERSION}"))),
            None => Err(fail("the frame is empty".to_owned())),
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
    /// Kind of the message, as in metrics and status.
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

    /// Encoded size in bytes; 0 if the message cannot be encoded.
    pub fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}

impl From<&Bundle> for Message {
    fn from(bundle: &Bundle) -> Message {
        Message::Head(bundle.head.clone(), Manifest::of(&bundle.folder))
    }
}

/// Builds a revision from its head, its manifest and the content of its documents.
///
/// # Errors
///
/// A document is missing, or the documents do not match the digest in the head.
pub fn assemble(head: Head, manifest: &Manifest, content: &[(Digest, Vec<u8>)]) -> Result<Bundle, Error> {
    let mut files = Vec::new();
    for document in &manifest.files {
        let found = content.iter().find(|(digest, _)| *digest == document.digest);
        let Some((_, bytes)) = found else {
            return Err(Error::new("assemble a revision", format!("document {} is missing", document.name)));
        };
        files.push(File::new(document.name.clone(), bytes.clone()));
    }
    Bundle::new(head, Folder::new(files))
}
