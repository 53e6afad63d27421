//! Client that opens a flow for each request, through instances in turn.

use std::{
    io,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use tokio::{net::UdpSocket, time::timeout};

use super::header::{ACK, FIN, Packet, RST, SYN};

/// Times after the first packet of a flow at which copies of it are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which a flow that did not open is given up.
const GIVE_UP: Duration = Duration::from_millis(1_400);

/// First sequence number of a client's flows.
const FIRST_SEQ: u32 = 100;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answer of a target.
    Answer(Vec<u8>),
    /// The flow was reset before it opened.
    Refused,
    /// The flow was reset after it had opened.
    Broken,
    /// Nothing came.
    Silent,
}

/// Client with an address of its own.
pub struct Client {
    socket: UdpSocket,
    address: SocketAddrV4,
    next_port: u16,
}

impl Client {
    /// Client that gets its packets at an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn new(address: SocketAddrV4) -> io::Result<Client> {
        Ok(Client { socket: UdpSocket::bind(address).await?, address, next_port: 1_024 })
    }

    /// Runs one request to a route. Each packet goes through the next one of the
    /// instances.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub async fn request(
        &mut self,
        route: SocketAddrV4,
        instances: &[SocketAddrV4],
        body: &[u8],
    ) -> io::Result<Outcome> {
        self.next_port += 1;
        let source = SocketAddrV4::new(*self.address.ip(), self.next_port);
        let mut through = instances.iter().cycle();
        let mut send = async |packet: Packet| {
            let instance = through.next().ok_or_else(|| io::Error::other("there is no instance"))?;
            self.socket.send_to(&packet.to_bytes(), instance).await
        };
        let packet = |flags, ack, echo, data: &[u8]| Packet {
            flags,
            seq: FIRST_SEQ,
            ack,
            source,
            target: route,
            echo,
            data: data.to_vec(),
        };
        let started = Instant::now();
        let mut copies = 0;
        send(packet(SYN, 0, 0, &[])).await?;
        let mut is_open = false;
        let mut buffer = [0; 2048];
        while started.elapsed() < GIVE_UP {
            let next = COPIES.get(copies).filter(|_| !is_open).copied().unwrap_or(GIVE_UP);
            let left = next.saturating_sub(started.elapsed());
            let Ok(received) = timeout(left, self.socket.recv_from(&mut buffer)).await else {
                if !is_open && copies < COPIES.len() {
                    copies += 1;
                    send(packet(SYN, copies as u32, 0, &[])).await?;
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
                    return Ok(if is_open { Outcome::Broken } else { Outcome::Refused });
                }
                flags if flags & SYN != 0 => {
                    is_open = true;
                    send(packet(ACK, answer.seq + 1, answer.echo, body)).await?;
                }
                _ => {
                    send(packet(ACK | FIN, answer.seq + 1, answer.echo, &[])).await?;
                    return Ok(Outcome::Answer(answer.data));
                }
            }
        }
        Ok(Outcome::Silent)
    }
}
