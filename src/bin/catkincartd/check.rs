//! Checks settings files.

use catkin_schema::settings::{self, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Reads settings. Prints the problems to the standard error and returns `None` if there are any.
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

/// Checks the files, and every `.toml` file of the folders, in `paths`. With `print`, also prints the effective values.
pub fn check(paths: &[PathBuf], print: bool) -> ExitCode {
    let mut all_valid = true;
    for file in paths.iter().flat_map(|p| settings_files(p)) {
        if let Some(text) = node_settings(&file) {
            all_valid &= check_node(&file, &text);
            continue;
        }
        let Some((settings, text)) = read(&file) else {
            all_valid = false;
            continue;
        };
        println!("{}: ok", file.display());
        if print {
            for e in &settings::effective(&settings, &text) {
                println!("{e}");
            }
        }
    }
    if all_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns the text of a file of settings for the `node` command, or `None` for any other file. Only settings for
/// `node` have a section `[table]`.
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

fn settings_files(path: &Path) -> Vec<PathBuf> {
    let Ok(folder) = std::fs::read_dir(path) else { return vec![path.to_owned()] };
    let is_toml = |p: &PathBuf| p.extension().is_some_and(|e| e == "toml");
    let mut settings_files: Vec<PathBuf> =
        folder.filter_map(|e| Some(e.ok()?.path())).filter(is_toml).collect();
    settings_files.sort();
    settings_files
}
