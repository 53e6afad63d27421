/*!
Client that opens a new flow for each request.

Each packet of a flow goes to the next instance, as from a fabric without flow
affinity.
*/

use std::{
    io,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, time::timeout};

use super::header::{ACK, FIN, Packet, RST, SYN};

/// Times after the opening packet of a flow at which it is retransmitted.
const RETRANSMIT_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time in which a request must be answered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Initial sequence number of each flow of a client.
const INITIAL_SEQ: u32 = 100;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target answered with this data.
    Answer(Vec<u8>),
    /// The flow was reset before it opened.
    Refused,
    /// The flow was reset after it had opened.
    Reset,
    /// No answer arrived in time.
    TimedOut,
}

/// Client with its own IP address.
pub struct Client {
    socket: UdpSocket,
    address: SocketAddrV4,
    next_port: u16,
}

impl Client {
    /// Creates a client that receives its packets at an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn new(address: SocketAddrV4) -> io::Result<Client> {
        Ok(Client { socket: UdpSocket::bind(address).await?, address, next_port: 1_024 })
    }

    /// Sends one request to a route. Each packet goes to the next one of `instances`.
    ///
    /// # Errors
    ///
    /// The socket failed, or `instances` is empty.
    pub async fn request(
        &mut self,
        route: SocketAddrV4,
        instances: &[SocketAddrV4],
        body: &[u8],
    ) -> io::Result<Outcome> {
        self.next_port += 1;
        let source = SocketAddrV4::new(*self.address.ip(), self.next_port);
        let mut next_instance = instances.iter().cycle();
        let mut send = async |packet: Packet| {
            let instance =
                next_instance.next().ok_or_else(|| io::Error::other("the list of instances is empty"))?;
            self.socket.send_to(&packet.to_bytes(), instance).await
        };
        let packet = |flags, ack, token, data: &[u8]| Packet {
            flags,
            seq: INITIAL_SEQ,
            ack,
            source,
            target: route,
            token,
            data: data.to_vec(),
        };
        let started = Instant::now();
        let mut retransmits = 0;
        send(packet(SYN, 0, 0, &[])).await?;
        let mut is_open = false;
        let mut buffer = [0; 2048];
        while started.elapsed() < REQUEST_TIMEOUT {
            let next =
                RETRANSMIT_AFTER.get(retransmits).filter(|_| !is_open).copied().unwrap_or(REQUEST_TIMEOUT);
            let remaining = next.saturating_sub(started.elapsed());
            let Ok(received) = timeout(remaining, self.socket.recv_from(&mut buffer)).await else {
                if !is_open && retransmits < RETRANSMIT_AFTER.len() {
                    retransmits += 1;
                    send(packet(SYN, retransmits as u32, 0, &[])).await?;
                }
                continue;
            };
            let Some(answer) = Packet::from_bytes(&buffer[..received?.0]) else {
                continue;
            };
            if answer.target != source {
                continue;
            }
            match answer.flags {
                flags if flags & RST != 0 => {
                    return Ok(if is_open { Outcome::Reset } else { Outcome::Refused });
                }
                flags if flags & SYN != 0 => {
                    is_open = true;
                    send(packet(ACK, answer.seq + 1, answer.token, body)).await?;
                }
                _ => {
                    send(packet(ACK | FIN, answer.seq + 1, answer.token, &[])).await?;
                    return Ok(Outcome::Answer(answer.data));
                }
            }
        }
        Ok(Outcome::TimedOut)
    }
}
