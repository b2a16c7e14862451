//! Record of what a case sent, got and ran.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// File `record.txt` of a case; each line begins with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let record = Self { file, start: Instant::now() };
        let trouble = if crate::has_trouble() { "with" } else { "without" };
        record.line(&format!("{trouble} the disruption"));
        Ok(record)
    }

    /// Writes a line to the record.
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{:>6}.{:03} s  {text}", ms / 1_000, ms % 1_000)
            .expect("the record is written");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
