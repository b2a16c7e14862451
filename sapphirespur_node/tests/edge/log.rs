//! Logs are bounded and never waited for.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use sapphirespur_node::edge::log_budget::{LogBudget, LogClass};
use sapphirespur_node::line_writer::LineWriter;

/// Reader that takes nothing until it is let go.
struct Stuck {
    go: Receiver<()>,
    has_gone: bool,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.has_gone {
            self.go.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
            self.has_gone = true;
        }
        self.taken.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (go, gone) = channel();
    let taken = Arc::<Mutex<Vec<u8>>>::default();
    let out = Stuck { go: gone, has_gone: false, taken: Arc::clone(&taken) };
    (LineWriter::start(out).expect("the thread starts"), go, taken)
}

#[test]
fn a_stuck_reader_is_not_waited_for_and_what_is_dropped_is_counted() {
    let (mut writer, go, taken) = stuck();
    let line = [b'x'; 1_023];
    // Far more than is held; the writer would never return if it waited.
    for _ in 0..2_000 {
        writer.write_all(&line).expect("never fails");
        writer.write_all(b"\n").expect("never fails");
    }
    let flush_handle = writer.flush_handle();
    flush_handle.wait();
    assert!(taken.lock().expect("not poisoned").is_empty());

    go.send(()).expect("the reader waits");
    let is_told = || {
        let taken = taken.lock().expect("not poisoned");
        String::from_utf8_lossy(&taken).contains("log lines dropped")
    };
    while !is_told() {
        std::thread::yield_now();
    }
    assert!(taken.lock().expect("not poisoned").len() < 600 * 1_024);
}

#[test]
fn lines_come_out_in_their_order() {
    let (mut writer, go, taken) = stuck();
    go.send(()).expect("the reader waits");
    for index in 0..1_000 {
        writeln!(writer, "{index}").expect("never fails");
    }
    let expected: String = (0..1_000).map(|index| format!("{index}\n")).collect();
    while taken.lock().expect("not poisoned").len() < expected.len() {
        std::thread::yield_now();
    }
    assert_eq!(String::from_utf8_lossy(&taken.lock().expect("not poisoned")), expected);
}

#[test]
fn ordinary_lines_never_use_up_the_room_for_failures() {
    let budget = LogBudget::default();
    let ordinary = (0..1_000).filter(|_| budget.take(LogClass::Ordinary)).count();
    let failures = (0..1_000).filter(|_| budget.take(LogClass::Failure)).count();
    assert!(ordinary < failures && failures < 1_000, "{ordinary} {failures}");
    assert_eq!(budget.renew(), 2_000 - ordinary as u64 - failures as u64);
    assert_eq!(budget.renew(), 0);
    assert!(budget.take(LogClass::Failure));
}
