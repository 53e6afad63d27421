//! Log lines never hold up who writes them.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use ragwortlbd::logs::{Queue, left_out};

/// Time in which many lines must be taken, whether or not anybody reads them.
const LIMIT: Duration = Duration::from_secs(2);

/// Output that takes nothing until it is released.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.recv().map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
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
    let mut queue = Queue::new(Stuck(released));
    let before = left_out();
    let started = Instant::now();
    for _ in 0..100_000 {
        queue.write_all(b"a line of usual length, with some fields behind it\n").unwrap();
    }
    queue.flush();
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    assert!(left_out() - before > 90_000, "what was not written is counted");
}

#[test]
fn whole_lines() {
    let kept = Kept::default();
    let mut queue = Queue::new(kept.clone());
    for index in 0..100 {
        queue.write_all(format!("line {index}\n").as_bytes()).unwrap();
    }
    Queue::flush(&queue);
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with("line")).collect();
    assert_eq!(lines.len(), 100);
    assert_eq!(lines[99], "line 99");
}
