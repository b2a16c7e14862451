//! Logging as JSON lines.

use std::io;

use fern::Dispatch;
use log::kv::{Error as KvError, Key, Value, VisitSource};
use sapphirespur_core::bounded_text::bounded_text;
use serde_json::{Map, json};
use thiserror::Error;

use crate::clock::wall_us;
use crate::line_writer::{FlushHandle, LineWriter};
use crate::settings::LogSettings;

/// Longest text of a field or message, in bytes; what is longer comes from outside.
const MAX_TEXT_BYTES: usize = 1_024;

/// Longest text of all fields of a line together, in bytes.
const MAX_FIELDS_BYTES: usize = 4 * 1_024;

/// Reason why logging cannot be started.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The log file cannot be opened, or the thread that writes the log cannot be started.
    #[error("failed to open the log output: {0}")]
    File(#[from] io::Error),
    /// The process already has a logger.
    #[error("failed to set the logger: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Key-value pairs of a log record, as JSON; unsigned integers are numbers, all else is text, which is cut where
/// it is too long.
#[derive(Debug)]
struct Fields {
    pairs: Map<String, serde_json::Value>,
    /// Bytes of text for which there is room.
    room: usize,
}

impl Default for Fields {
    fn default() -> Self {
        Self { pairs: Map::new(), room: MAX_FIELDS_BYTES }
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => {
                let text = bounded_text(value, MAX_TEXT_BYTES.min(self.room));
                self.room = self.room.saturating_sub(text.len());
                json!(text)
            }
        };
        self.pairs.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging for process `node`, to the file in the settings or else to standard error.
///
/// # Errors
///
/// Returns an error when the file cannot be opened or the process already has a logger.
pub fn start(settings: &LogSettings, node: &str) -> Result<(), LoggingError> {
    let dispatch = json_lines(settings, node);
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(io::stderr()),
    };

    dispatch.apply()?;
    Ok(())
}

/// Starts logging for process `node` to standard output.
///
/// A slow reader of the output never blocks the process: lines are dropped instead.
///
/// # Errors
///
/// Returns an error when the writer thread cannot be started or the process already has a logger.
pub fn start_on_stdout(settings: &LogSettings, node: &str) -> Result<FlushHandle, LoggingError> {
    let writer = LineWriter::start(io::stdout())?;
    let flush_handle = writer.flush_handle();

    json_lines(settings, node).chain(Box::new(writer) as Box<dyn io::Write + Send>).apply()?;
    Ok(flush_handle)
}

/// Returns a dispatch that formats each log record as a JSON object on one line.
pub fn json_lines(settings: &LogSettings, node: &str) -> Dispatch {
    let node = node.to_owned();
    Dispatch::new().level(settings.level).format(move |out, message, record| {
        let mut fields = Fields::default();
        // If a field cannot be formatted, the line is logged without it.
        let _ = record.key_values().visit(&mut fields);
        let mut pairs = fields.pairs;
        pairs.insert("time_us".to_owned(), json!(wall_us()));
        pairs.insert("level".to_owned(), json!(record.level().as_str()));
        pairs.insert("node".to_owned(), json!(node));
        pairs.insert("target".to_owned(), json!(record.target()));
        pairs.insert("message".to_owned(), json!(bounded_text(message, MAX_TEXT_BYTES)));
        out.finish(format_args!("{}", serde_json::Value::Object(pairs)));
    })
}
