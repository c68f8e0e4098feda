//! Checking settings.

use catkin_schema::settings::{self, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Reads settings, or prints what is wrong with them.
pub fn load(file: &Path) -> Option<Settings> {
    read(file).map(|(settings, _)| settings)
}

fn read(file: &Path) -> Option<(Settings, String)> {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{name}: {e}");
            return None;
        }
    };
    match settings::parse(&name, &text) {
        Ok(settings) => Some((settings, text)),
        Err(problems) => {
            for p in &problems {
                eprintln!("{p}");
            }
            None
        }
    }
}

/// Checks files, or every `.toml` file of folders.
pub fn check(paths: &[PathBuf], print: bool) -> ExitCode {
    let mut good = true;
    for file in paths.iter().flat_map(|p| files(p)) {
        if let Some(text) = node_settings(&file) {
            good &= check_node(&file, &text);
            continue;
        }
        let Some((settings, text)) = read(&file) else {
            good = false;
            continue;
        };
        println!("{}: ok", file.display());
        if print {
            for e in &settings::effective(&settings, &text) {
                println!("{e}");
            }
        }
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The text of a file that holds settings of `node`: these alone have a table of that name.
fn node_settings(file: &Path) -> Option<String> {
    let text = std::fs::read_to_string(file).ok()?;
    text.lines().any(|l| l.trim() == "[table]").then_some(text)
}

fn check_node(file: &Path, text: &str) -> bool {
    let name = file.display().to_string();
    match catkin_node::settings::parse(&name, text) {
        Ok(_) => println!("{name}: ok"),
        Err(e) => {
            eprintln!("{e:?}");
            return false;
        }
    }
    true
}

fn files(path: &Path) -> Vec<PathBuf> {
    let Ok(folder) = std::fs::read_dir(path) else { return vec![path.to_owned()] };
    let toml = |p: &PathBuf| p.extension().is_some_and(|e| e == "toml");
    let mut files: Vec<PathBuf> =
        folder.filter_map(|e| Some(e.ok()?.path())).filter(toml).collect();
    files.sort();
    files
}
