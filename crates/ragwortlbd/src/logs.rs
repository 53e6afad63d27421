/*!
Log lines on standard output, which never hold up who writes them.

Lines go through a bounded queue to a thread of their own. If whoever reads the
output stands still, the queue fills, and further lines are left out and counted;
a line that says how many follows once there is room. The thread writes what has
gathered in a while at once, as each write has its price on small machines.

Fields of a line are `key=value` behind its text, by the key-values of [`log`].
Each line starts with the number of its event; docs/EVENTS.md lists them.
*/

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use env_logger::{Builder, Env, Target};

/// Lines that wait to be written at most: some seconds of the busiest instance.
const QUEUE_LINES: usize = 2_048;

/// Time for which lines gather before they are written.
const GATHER: Duration = Duration::from_millis(50);

/// Time that is left to the last lines at the end of the process.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Lines that were left out since the start, as the output was not read.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Message to the writing thread.
enum Message {
    Line(Vec<u8>),
    /// All lines before it are to be written; then the sender is told.
    Flush(SyncSender<()>),
}

/// Queue of lines in front of an output.
#[derive(Clone)]
pub struct Queue {
    sender: SyncSender<Message>,
}

impl Queue {
    /// Queue that writes to an output until the process ends.
    pub fn new(output: impl Write + Send + 'static) -> Queue {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_lines(receiver, output));
        Queue { sender }
    }

    /// Waits for a short time until the lines that are queued are written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        let sent = self.sender.try_send(Message::Flush(done));
        // With a full queue the output is not read, and there is nobody to wait for.
        if sent.is_ok() {
            written.recv_timeout(LAST_LINES).unwrap_or_else(|error| eprintln!("last lines: {error}"));
        }
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: Receiver<Message>, mut output: impl Write) {
    let mut told = 0;
    while let Ok(first) = receiver.recv() {
        if matches!(first, Message::Line(_)) {
            thread::sleep(GATHER);
        }
        let mut bytes = Vec::new();
        let mut waiting = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter()) {
            match message {
                Message::Line(line) => bytes.extend_from_slice(&line),
                Message::Flush(done) => waiting.push(done),
            }
        }
        let count = left_out();
        if count > told {
            let line =
                format!("E709 lines were left out as the output was not read count={}\n", count - told);
            bytes.extend_from_slice(line.as_bytes());
            told = count;
        }
        // Without an output there is nowhere left to tell of the error.
        let written = output.write_all(&bytes).and_then(|()| output.flush());
        if written.is_err() {
            return;
        }
        // Whoever no longer waits has ended.
        waiting.retain(|done| done.try_send(()).is_ok());
    }
}

/// Makes the program's log lines go to standard output. The level is set by `RUST_LOG`.
pub fn init() -> Queue {
    let queue = Queue::new(io::stdout());
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue.clone())))
        .format_timestamp_millis()
        .init();
    queue
}
