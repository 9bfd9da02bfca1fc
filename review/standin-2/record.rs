//! Writes down what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Mutex::new(BufWriter::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.line(text);
        let _ = self.file.lock().expect("the record").flush();
    }
}
