//! Logging is rate-limited and never blocks the process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Level, LevelFilter, Log, Record};
use sapphirespur_node::edge::log_budget::{LogBudget, LogClass};
use sapphirespur_node::line_writer::LineWriter;
use sapphirespur_node::logging::json_lines;
use sapphirespur_node::settings::LogSettings;
use serde_json::Value;

/// Output that accepts no bytes until it is unblocked.
struct BlockedOutput {
    unblock: Receiver<()>,
    is_unblocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_unblocked {
            self.unblock.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
            self.is_unblocked = true;
        }
        self.written.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (unblock, unblocked) = channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let out =
        BlockedOutput { unblock: unblocked, is_unblocked: false, written: Arc::clone(&written) };
    (LineWriter::start(out).expect("the thread starts"), unblock, written)
}

#[test]
fn blocked_output_does_not_block_logging_and_dropped_lines_are_reported() {
    let (mut writer, unblock, written) = blocked_writer();
    let line = [b'x'; 1_023];
    // Far more than the writer buffers; it would never return if it waited for the output.
    for _ in 0..2_000 {
        writer.write_all(&line).expect("never fails");
        writer.write_all(b"\n").expect("never fails");
    }
    let flush_handle = writer.flush_handle();
    flush_handle.wait();
    assert!(written.lock().expect("not poisoned").is_empty());

    unblock.send(()).expect("the output waits");
    let is_reported = || {
        let written = written.lock().expect("not poisoned");
        String::from_utf8_lossy(&written).contains("log lines dropped")
    };
    while !is_reported() {
        std::thread::yield_now();
    }
    assert!(written.lock().expect("not poisoned").len() < 600 * 1_024);
}

#[test]
fn lines_are_written_in_order() {
    let (mut writer, unblock, written) = blocked_writer();
    unblock.send(()).expect("the output waits");
    for index in 0..1_000 {
        writeln!(writer, "{index}").expect("never fails");
    }
    let expected: String = (0..1_000).map(|index| format!("{index}\n")).collect();
    while written.lock().expect("not poisoned").len() < expected.len() {
        std::thread::yield_now();
    }
    assert_eq!(String::from_utf8_lossy(&written.lock().expect("not poisoned")), expected);
}

/// Returns what a writer has written once it is unblocked and has reported dropped lines.
fn written_after(unblock: &Sender<()>, written: &Mutex<Vec<u8>>) -> String {
    unblock.send(()).expect("the output waits");
    loop {
        let text = String::from_utf8(written.lock().expect("not poisoned").clone()).expect("text");
        if text.contains("log lines dropped") {
            return text;
        }
        std::thread::yield_now();
    }
}

macro_rules! whole_lines {
    ($($name:ident: $parts:expr;)*) => {$(
        // Guards against lines of which parts are missing, which no reader of JSON lines gets beyond.
        #[test]
        fn $name() {
            let parts: &[&str] = &$parts;
            let (mut writer, unblock, written) = blocked_writer();
            for _ in 0..2_000 {
                for part in parts {
                    writer.write_all(part.as_bytes()).expect("never fails");
                }
            }
            let text = written_after(&unblock, &written);
            let line = parts.concat();
            let is_whole = |found: &str| found == line.trim_end() || found.contains("dropped");
            assert!(text.lines().all(is_whole), "part of a line");
        }
    )*};
}

whole_lines! {
    lines_of_two_parts_are_dropped_as_a_whole: [&"x".repeat(1_000), "y\n"];
    lines_with_a_short_first_part_are_dropped_as_a_whole: ["{", &"x".repeat(1_000), "}\n"];
    lines_beyond_the_buffer_are_dropped_as_a_whole: ["{", &"x".repeat(300 * 1_024), "}\n"];
}

/// Longest line, in bytes: 4 KB of fields and 1 KB of message, with at most six bytes for each, and the keys.
const MAX_LINE_BYTES: usize = 32 * 1_024;

macro_rules! long_values {
    ($($name:ident: $value:expr;)*) => {$(
        // Guards against log lines whose length is up to clients, upstreams or writers of the store.
        #[test]
        fn $name() {
            let value: String = $value;
            let written = Arc::<Mutex<Vec<u8>>>::default();
            let (tx, rx) = channel();
            tx.send(()).expect("the receiver is there");
            let out = BlockedOutput { unblock: rx, is_unblocked: false, written: Arc::clone(&written) };
            let settings = LogSettings { level: LevelFilter::Info, file: None };
            let dispatch = json_lines(&settings, "edge-1").chain(Box::new(out) as Box<dyn Write + Send>);
            let (_, logger) = dispatch.into_log();
            let pairs: Vec<(String, &str)> =
                (0..20).map(|index| (format!("field{index}"), value.as_str())).collect();
            let mut record = Record::builder();
            record.level(Level::Info).key_values(&pairs);
            logger.log(&record.args(format_args!("{value}")).build());
            let line = written.lock().expect("not poisoned");
            assert!(line.len() < MAX_LINE_BYTES, "{} bytes", line.len());
            let fields: Value = serde_json::from_slice(&line).expect("a JSON object");
            assert!(fields["field0"].as_str().is_some_and(|text| text.starts_with(&value[..100])));
        }
    )*};
}

long_values! {
    line_of_long_plain_texts_has_a_largest_length: "x".repeat(1_000_000);
    line_of_long_unprintable_texts_has_a_largest_length: "\u{1}".repeat(1_000_000);
    line_of_long_texts_of_wide_characters_has_a_largest_length: "\u{1f600}".repeat(300_000);
}

#[test]
fn success_lines_do_not_use_up_the_budget_of_failures() {
    let budget = LogBudget::default();
    let successes = (0..1_000).filter(|_| budget.try_acquire(LogClass::Success)).count();
    let failures = (0..1_000).filter(|_| budget.try_acquire(LogClass::Failure)).count();
    assert!(successes < failures && failures < 1_000, "{successes} {failures}");
    assert_eq!(budget.refill(), 2_000 - successes as u64 - failures as u64);
    assert_eq!(budget.refill(), 0);
    assert!(budget.try_acquire(LogClass::Failure));
}

// Guards against a log that only tells of one writer's entries, and of no request.
#[test]
fn lines_about_entries_do_not_use_up_the_budget_of_requests() {
    let budget = LogBudget::default();
    let entries = (0..1_000).filter(|_| budget.try_acquire(LogClass::Entry)).count();
    assert!(entries <= 10, "{entries}");
    assert!(budget.try_acquire(LogClass::Failure) && budget.try_acquire(LogClass::Success));
    assert_eq!(budget.refill(), 1_000 - entries as u64);
}
