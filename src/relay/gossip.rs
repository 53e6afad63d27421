/*!
What instances tell each other on the packet path, and its bytes.

A report says how many flows the sender has open at each target, many times a
second; rows pass on what a reader of the store has learned; members pass on who
is there, as only readers see instances that register later. Each message fits
into one datagram, may be lost, and is checked when it is read. Who lacks rows
fetches a [`Snapshot`].

# Example

```
use ragwortlb::relay::gossip::{Frame, Message, Report};

let report = Report { revision: 7, ..Report::default() };
let frame = Frame { sender: "pa-1".into(), zone: "pa".into(), message: Message::Report(report) };
assert_eq!(Frame::from_bytes(&frame.to_bytes()).unwrap(), frame);
assert!(Frame::from_bytes(b"nonsense").is_err());
```
*/

use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Plan, Token, catalog::Record};
use crate::Error;

/// Version of the encoding.
const VERSION: u8 = 2;

/// Longest datagram, in bytes; one packet on the usual links.
pub const MAX_FRAME_BYTES: usize = 1_400;

/// Longest snapshot, in bytes: twice what the platform's store holds in one value.
pub const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;

/// Bytes of rows that are put into one datagram.
const ROWS_BYTES: usize = 1_200;

/// What a sender has at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Load {
    /// Target.
    pub token: Token,
    /// Open flows.
    pub open: u32,
    /// Opening packets in a row that it did not answer.
    #[serde(rename = "strikes")]
    pub failures: u32,
    /// Whether it answered a short time ago, against what peers tell of it.
    #[serde(rename = "answers")]
    pub is_responsive: bool,
}

/// State of a sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Revision of the store up to which the sender is complete.
    pub revision: u64,
    /// Version of its plan.
    pub plan_version: u64,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Targets at which it has flows open or doubts.
    pub loads: Vec<Load>,
}

/// Rows between two revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Update {
    /// Revision that a receiver must have.
    pub after: u64,
    /// Revision that it has then.
    pub revision: u64,
    /// Changed rows.
    #[serde(rename = "rows")]
    pub records: Vec<Record>,
}

/// Instance as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for news.
    pub address: SocketAddrV4,
}

/// Most members in one message, so that it fits into a datagram.
pub const MAX_MEMBERS: usize = 24;

/// Most members in a snapshot: twice the fleet to design for.
pub const MAX_SNAPSHOT_MEMBERS: usize = 1_200;

/// Message of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// State of the sender.
    Report(Report),
    /// What changed in the store.
    Update(Update),
    /// Some of the instances that the sender hears.
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

/// All that an instance knows of targets and routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    /// Revision up to which it is complete.
    pub revision: u64,
    /// Plan in force.
    pub plan: Plan,
    /// Rows of all targets.
    #[serde(rename = "rows")]
    pub records: Vec<Record>,
    /// Instances that the sender knows, at most [`MAX_SNAPSHOT_MEMBERS`].
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

/// Splits rows so that each part fits into a datagram. Each part leaves a receiver at the
/// revision that the next one asks for, so that one that is lost shows as a gap. Rows of
/// one revision that do not fit are not told: receivers see a gap, and fetch a snapshot.
pub fn split(update: Update) -> Vec<Update> {
    let Update { mut after, revision, mut records } = update;
    records.sort_by_key(|record| record.revision);
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for record in records {
        let size = postcard::experimental::serialized_size(&record).unwrap_or(ROWS_BYTES);
        if bytes + size > ROWS_BYTES && !part.is_empty() {
            let reached = part.last().map_or(after, |last: &Record| last.revision);
            if reached == record.revision {
                return vec![Update { after: revision, revision, records: Vec::new() }];
            }
            parts.push(Update { after, revision: reached, records: std::mem::take(&mut part) });
            after = reached;
            bytes = 0;
        }
        bytes += size;
        part.push(record);
    }
    parts.push(Update { after, revision, records: part });
    parts
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("encoding into memory does not fail")
}

fn decode<T: DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T, Error> {
    let Some((&VERSION, rest)) = bytes.split_first() else {
        return Err(Error::new(step, "it has another version"));
    };
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(Error::new(step, format!("{} bytes are left over", rest.len()))),
        Err(error) => Err(Error::new(step, error.to_string())),
    }
}
