//! The output of log lines: a bounded non-blocking queue and a thread that writes its lines.

use super::counts::Counts;
use std::io::{self, Write};
use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder};
use tracing_subscriber::fmt::MakeWriter;

/// The largest number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 4096;

/// The sending side of the queue. If the queue is full, a line is dropped and counted.
pub(super) struct LineQueue {
    queue: NonBlocking,
    counts: Arc<Counts>,
}

impl LineQueue {
    /// Creates the queue and the thread that writes its lines to `to`.
    pub(super) fn new(to: impl Write + Send + 'static, counts: Arc<Counts>) -> Self {
        let (queue, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_CAPACITY)
            .thread_name("log")
            .finish(CountingWriter { to, counts: counts.clone() });
        // Dropping the guard would wait for a stuck reader and print a message after the wait. `Log::flush`
        // bounds the wait instead.
        #[expect(
            clippy::mem_forget,
            reason = "the writing thread ends with the process, not with this call"
        )]
        mem::forget(worker);
        LineQueue { queue, counts }
    }

    /// The counter of lines that were dropped because the queue was full.
    pub(super) fn dropped_lines(&self) -> ErrorCounter {
        self.queue.error_counter()
    }
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = NonBlocking;

    /// Called once per line, which is then written in one call.
    fn make_writer(&'a self) -> NonBlocking {
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        self.queue.clone()
    }
}

/// Writes lines on the thread of the log and counts them.
struct CountingWriter<W> {
    to: W,
    counts: Arc<Counts>,
}

impl<W: Write> Write for CountingWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.to.write_all(line);
        let count = if written.is_ok() { &self.counts.written } else { &self.counts.failed };
        count.fetch_add(1, Ordering::Relaxed);
        // A failed write is not an error here: the next line is tried as well, since the reader may come
        // back.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        // Failures are already counted with the failed line.
        let _ = self.to.flush();
        Ok(())
    }
}
