//! Packets as ends write and read them.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of a head, in bytes.
pub const BYTES: usize = 36;

pub const SYN: u8 = 64;
pub const ACK: u8 = 128;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;

/// Packet of an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Writes the packet with its checksum.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, 0, 0, 0, 0, 0];
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.source.port().to_be_bytes());
        out.extend(self.target.ip().octets());
        out.extend(self.source.ip().octets());
        out.extend(self.target.port().to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.sum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Reads a packet; nothing if it is too short or its checksum is wrong. A reset
    /// may have no checksum.
    pub fn from_bytes(bytes: &[u8]) -> Option<Packet> {
        let word = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let half = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let packet = Packet {
            flags: *bytes.first()?,
            seq: word(6)?,
            ack: word(10)?,
            source: SocketAddrV4::new(Ipv4Addr::from(word(20)?), half(14)?),
            target: SocketAddrV4::new(Ipv4Addr::from(word(16)?), half(24)?),
            echo: word(26)?,
            data: bytes.get(BYTES..)?.to_vec(),
        };
        let sum = word(30)?;
        let valid = sum == packet.sum() || (packet.flags == RST && sum == 0);
        (valid && usize::from(half(34)?) == packet.data.len()).then_some(packet)
    }

    /// Sum over all fields but the token, with a key that only ends know.
    fn sum(&self) -> u32 {
        let mut sum = 0x9E37_79B9u32;
        let mut add = |word: u32| sum = (sum ^ word).wrapping_mul(0x85EB_CA6B).rotate_left(13);
        add(u32::from(self.flags));
        add(self.seq);
        add(self.ack);
        for end in [self.source, self.target] {
            add(u32::from(*end.ip()));
            add(u32::from(end.port()));
        }
        self.data.iter().for_each(|byte| add(u32::from(*byte)));
        sum
    }
}
