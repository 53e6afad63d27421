//! The log queue: writers never block, lost lines are counted, and a flush writes all.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use ragwortlbd::logs::{Queue, dropped_lines};

/// Limit for queueing many lines while nothing reads the output.
const LIMIT: Duration = Duration::from_secs(2);

/// Output whose writes block until it is released.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.recv().map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that collects what is written.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stuck_output() {
    let (_release, released) = mpsc::channel();
    let mut queue = Queue::new(BlockedOutput(released));
    let before = dropped_lines();
    let started = Instant::now();
    for _ in 0..100_000 {
        queue.write_all(b"a line of usual length, with some fields behind it\n").unwrap();
    }
    queue.flush();
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    assert!(dropped_lines() - before > 90_000, "dropped lines are counted");
}

#[test]
fn complete_lines() {
    let buffer = Buffer::default();
    let mut queue = Queue::new(buffer.clone());
    for index in 0..100 {
        queue.write_all(format!("line {index}\n").as_bytes()).unwrap();
    }
    Queue::flush(&queue);
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with("line")).collect();
    assert_eq!(lines.len(), 100);
    assert_eq!(lines[99], "line 99");
}
