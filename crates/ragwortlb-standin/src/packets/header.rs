/*!
Packets as clients and targets encode and decode them.

The encoding is independent of the one in `ragwortlb_platform`. Only clients and
targets compute the checksum; instances must not change any field that it covers.
*/

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of a packet's header, in bytes.
pub const HEADER_BYTES: usize = 36;

pub const SYN: u8 = 64;
pub const ACK: u8 = 128;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;

/// Packet of a client or a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    /// Routing token that a target returns to the client; the platform calls the field `echo`.
    pub token: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet with its checksum.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, 0, 0, 0, 0, 0];
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.source.port().to_be_bytes());
        out.extend(self.target.ip().octets());
        out.extend(self.source.ip().octets());
        out.extend(self.target.port().to_be_bytes());
        out.extend(self.token.to_be_bytes());
        out.extend(self.checksum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet. Returns `None` if it is too short, or if its checksum or length
    /// is wrong. A reset may have the checksum zero, because instances also send resets
    /// and cannot compute it.
    pub fn from_bytes(bytes: &[u8]) -> Option<Packet> {
        let u32_at = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let packet = Packet {
            flags: *bytes.first()?,
            seq: u32_at(6)?,
            ack: u32_at(10)?,
            source: SocketAddrV4::new(Ipv4Addr::from(u32_at(20)?), u16_at(14)?),
            target: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)?), u16_at(24)?),
            token: u32_at(26)?,
            data: bytes.get(HEADER_BYTES..)?.to_vec(),
        };
        let checksum = u32_at(30)?;
        let valid = checksum == packet.checksum() || (packet.flags == RST && checksum == 0);
        (valid && usize::from(u16_at(34)?) == packet.data.len()).then_some(packet)
    }

    /// Keyed checksum of all fields except the token. Instances do not have the key.
    fn checksum(&self) -> u32 {
        let mut checksum = 0x9E37_79B9u32;
        let mut add = |value: u32| checksum = (checksum ^ value).wrapping_mul(0x85EB_CA6B).rotate_left(13);
        add(u32::from(self.flags));
        add(self.seq);
        add(self.ack);
        for endpoint in [self.source, self.target] {
            add(u32::from(*endpoint.ip()));
            add(u32::from(endpoint.port()));
        }
        self.data.iter().for_each(|byte| add(u32::from(*byte)));
        checksum
    }
}
