//! The record of a case: what was sent, answered and run, with milliseconds since the start.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// A run of a task, as an executor has seen it. Times are milliseconds since the start of the case.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub executor: String,
    pub number: u64,
    pub from: u64,
    pub to: Option<u64>,
    pub how: String,
    /// When `last_seen` of a call reached the run's end.
    pub noted: Option<u64>,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<BTreeMap<String, Vec<RunSeen>>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { started: Instant::now(), file, runs: Mutex::default() }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7} {line}", self.now());
    }

    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, Vec<RunSeen>>> {
        self.runs.lock().unwrap()
    }

    pub fn started(&self, executor: &str, task: &str, number: u64, token: u64) {
        let from = self.now();
        let (executor_id, how) = (executor.to_owned(), String::new());
        let run = RunSeen { executor: executor_id, number, from, to: None, how, noted: None };
        self.runs().entry(task.to_owned()).or_default().push(run);
        self.write(&format!(
            "executor {executor} starts {task} run {number}, fencing token {token}"
        ));
    }

    pub fn ended(&self, executor: &str, task: &str, number: u64, how: &str) {
        let now = self.now();
        if let Some(list) = self.runs().get_mut(task) {
            let open =
                |r: &&mut RunSeen| r.executor == executor && r.number == number && r.to.is_none();
            if let Some(r) = list.iter_mut().find(open) {
                (r.to, r.how) = (Some(now), how.to_owned());
            }
        }
        self.write(&format!("executor {executor} ends {task} run {number}: {how}"));
    }

    /// The end of a run is taken note of.
    pub fn noted(&self, executor: &str, task: &str, number: u64) {
        let now = self.now();
        if let Some(list) = self.runs().get_mut(task) {
            let run = list.iter_mut().find(|r| r.executor == executor && r.number == number);
            if let Some(r) = run {
                r.noted = Some(now);
            }
        }
        self.write(&format!("executor {executor} may forget the end of {task} run {number}"));
    }

    /// Returns the runs of all tasks whose name begins so.
    pub fn runs_of(&self, prefix: &str) -> Vec<(String, RunSeen)> {
        let runs = self.runs();
        let found = runs.iter().filter(|(task, _)| task.starts_with(prefix));
        found.flat_map(|(task, list)| list.iter().map(|r| (task.clone(), r.clone()))).collect()
    }
}
