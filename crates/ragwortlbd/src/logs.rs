/*!
Log lines on standard output, written without blocking the caller.

Lines go through a bounded queue to a writer thread. If nothing reads the output,
the queue fills up, and further lines are dropped and counted; the next batch that
is written ends with a line that gives their count. The thread writes all lines of a
short interval as one batch, as each write is costly on small machines.

A line is the number of its event, a text, and fields as `key=value` (the
key-values of [`log`]). docs/EVENTS.md lists the events.
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

/// Length of the queue, in lines: some seconds of the busiest instance.
const MAX_QUEUED_LINES: usize = 2_048;

/// Time for which lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Limit for writing the queued lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines dropped since the start because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start because the output was not read.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Message to the writer thread.
enum Message {
    Line(Vec<u8>),
    /// Write all earlier lines, then reply on the channel.
    Flush(SyncSender<()>),
}

/// Queue of log lines in front of an output. Writing to it never blocks.
#[derive(Clone)]
pub struct Queue {
    sender: SyncSender<Message>,
}

impl Queue {
    /// Starts a thread that writes queued lines to an output until the process ends.
    pub fn new(output: impl Write + Send + 'static) -> Queue {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::spawn(move || write_lines(receiver, output));
        Queue { sender }
    }

    /// Waits until the queued lines are written, but not longer than `FLUSH_TIMEOUT`.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        let sent = self.sender.try_send(Message::Flush(done));
        // If the queue is full, the output is not read and waiting would be in vain.
        if sent.is_ok() {
            written
                .recv_timeout(FLUSH_TIMEOUT)
                .unwrap_or_else(|error| eprintln!("cannot flush the log: {error}"));
        }
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: Receiver<Message>, mut output: impl Write) {
    let mut reported = 0;
    while let Ok(first) = receiver.recv() {
        if matches!(first, Message::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        let mut bytes = Vec::new();
        let mut flush_requests = Vec::new();
        // Lines may arrive faster than they are taken out, so the batch has a limit too.
        for message in std::iter::once(first).chain(receiver.try_iter().take(MAX_QUEUED_LINES)) {
            match message {
                Message::Line(line) => bytes.extend_from_slice(&line),
                Message::Flush(done) => flush_requests.push(done),
            }
        }
        let count = dropped_lines();
        if count > reported {
            let line = format!(
                "E709 log lines dropped as standard output was not read count={}\n",
                count - reported
            );
            bytes.extend_from_slice(line.as_bytes());
            reported = count;
        }
        // If the output is closed, there is nowhere to report the error.
        let written = output.write_all(&bytes).and_then(|()| output.flush());
        if written.is_err() {
            return;
        }
        // Replying fails if the flush has timed out, which needs no handling.
        flush_requests.retain(|done| done.try_send(()).is_ok());
    }
}

/// Installs the logger of the program, which writes to standard output. `RUST_LOG` sets
/// the level; the default is `info`.
pub fn init() -> Queue {
    let queue = Queue::new(io::stdout());
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue.clone())))
        .format_timestamp_millis()
        .init();
    queue
}
