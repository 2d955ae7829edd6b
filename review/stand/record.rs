//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let out = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Record { began: Instant::now(), out })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        writeln!(out, "{seconds:9.3} {text}").expect("the record can be written");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.began.elapsed().as_secs_f64());
        self.line(text);
        let _written_at_exit_otherwise = self.out.lock().unwrap().flush();
    }
}
