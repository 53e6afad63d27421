/*!
Target on the packet path.

Instances put the number of the target in front of each packet that they forward. A
target ignores packets with another target's number and resets flows that it did not
open. It answers clients directly, not through an instance.
*/

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{net::UdpSocket, task::JoinHandle};

use super::header::{ACK, FIN, Packet, RST, SYN};

/// Length of the target's number in front of a packet, in bytes.
const NUMBER_BYTES: usize = 8;

/// Initial sequence number of each flow of a target.
const INITIAL_SEQ: u32 = 7_000;

/// Counters of a target.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests run.
    pub ran: AtomicU64,
    /// Packets with another target's number, which it ignored.
    pub misaddressed: AtomicU64,
    /// Packets with a wrong length or checksum.
    pub corrupt: AtomicU64,
    /// Packets of flows that it did not open, which it reset.
    pub unknown_flow: AtomicU64,
}

/// Running target; it stops when dropped.
pub struct Target {
    /// Counters.
    pub counts: Arc<Counts>,
    task: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Target {
    /// Starts a target that answers each request with its name. Clients receive its
    /// packets at `client_port`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(
        address: SocketAddrV4,
        number: u64,
        name: &str,
        client_port: u16,
    ) -> io::Result<Target> {
        let socket = UdpSocket::bind(address).await?;
        let counts = Arc::new(Counts::default());
        let server = Server {
            socket,
            number,
            name: name.into(),
            client_port,
            counts: counts.clone(),
            flows: Mutex::default(),
        };
        Ok(Target { counts, task: tokio::spawn(server.run()) })
    }
}

struct Server {
    socket: UdpSocket,
    number: u64,
    name: Vec<u8>,
    client_port: u16,
    counts: Arc<Counts>,
    flows: Mutex<HashMap<SocketAddrV4, bool>>,
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

impl Server {
    async fn run(self) {
        let mut buffer = [0; 2048];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer).await {
            let Some((number, bytes)) = buffer[..length].split_at_checked(NUMBER_BYTES) else {
                continue;
            };
            if number != self.number.to_be_bytes() && number != [0; NUMBER_BYTES] {
                add(&self.counts.misaddressed);
                continue;
            }
            match Packet::from_bytes(bytes) {
                Some(packet) => self.receive(&packet).await,
                None => add(&self.counts.corrupt),
            }
        }
    }

    async fn receive(&self, packet: &Packet) {
        let known = {
            let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
            if packet.flags == SYN {
                flows.entry(packet.source).or_insert(false);
            }
            flows.get(&packet.source).copied()
        };
        match known {
            None => {
                add(&self.counts.unknown_flow);
                self.answer(packet, RST, Vec::new()).await;
            }
            Some(_) if packet.flags == SYN => self.answer(packet, SYN | ACK, Vec::new()).await,
            Some(ran) if !packet.data.is_empty() => {
                if !ran {
                    add(&self.counts.ran);
                    let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
                    flows.insert(packet.source, true);
                }
                self.answer(packet, ACK | FIN, self.name.clone()).await;
            }
            Some(_) => {}
        }
    }

    async fn answer(&self, packet: &Packet, flags: u8, data: Vec<u8>) {
        let answer = Packet {
            flags,
            seq: INITIAL_SEQ,
            ack: packet.seq.wrapping_add(1),
            source: packet.target,
            target: packet.source,
            token: packet.token,
            data,
        };
        let client = SocketAddr::from((*packet.source.ip(), self.client_port));
        if let Err(error) = self.socket.send_to(&answer.to_bytes(), client).await {
            log::debug!("an answer could not be sent to a client: {error}");
        }
    }
}
