//! Logs as JSON lines.

use std::io;

use fern::Dispatch;
use log::kv::{Error as KvError, Key, Value, VisitSource};
use serde_json::{Map, json};
use thiserror::Error;

use crate::clock::wall_us;
use crate::line_writer::{FlushHandle, LineWriter};
use crate::settings::LogSettings;

/// Reason why logging cannot start.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("the log file cannot be opened: {0}")]
    File(#[from] io::Error),
    /// A logger is already in place.
    #[error("a logger is already in place: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Collects the key-value pairs of a record.
#[derive(Debug, Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let value = value.to_u64().map_or_else(|| json!(value.to_string()), |n| json!(n));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging for the process `node`.
///
/// # Errors
///
/// Returns an error when the file cannot be opened or a logger is already in place.
pub fn start(settings: &LogSettings, node: &str) -> Result<(), LoggingError> {
    let dispatch = json_lines(settings, node);
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(io::stderr()),
    };

    dispatch.apply()?;
    Ok(())
}

/// Starts logging for the process `node` on standard output, without ever waiting for its reader.
///
/// # Errors
///
/// Returns an error when the thread cannot start or a logger is already in place.
pub fn start_on_stdout(settings: &LogSettings, node: &str) -> Result<FlushHandle, LoggingError> {
    let writer = LineWriter::start(io::stdout())?;
    let flush_handle = writer.flush_handle();

    json_lines(settings, node).chain(Box::new(writer) as Box<dyn io::Write + Send>).apply()?;
    Ok(flush_handle)
}

fn json_lines(settings: &LogSettings, node: &str) -> Dispatch {
    let node = node.to_owned();
    Dispatch::new().level(settings.level).format(move |out, message, record| {
        let mut fields = Fields::default();
        // A field that cannot be shown is left out rather than losing the line.
        let _ = record.key_values().visit(&mut fields);
        fields.0.insert("time_us".to_owned(), json!(wall_us()));
        fields.0.insert("level".to_owned(), json!(record.level().as_str()));
        fields.0.insert("node".to_owned(), json!(node));
        fields.0.insert("target".to_owned(), json!(record.target()));
        fields.0.insert("message".to_owned(), json!(message.to_string()));
        out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
    })
}
