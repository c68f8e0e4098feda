//! The command-line client for callers and operators.
#![forbid(unsafe_code)]

use catkin_client::{Args, Exit};
use clap::Parser;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::process::ExitCode {
    let exit = match catkin_client::run(Args::parse(), &mut std::io::stdout()).await {
        Ok(exit) => exit,
        Err(e) => {
            eprintln!("catkincart: {e}");
            e.exit_code()
        }
    };
    let code = match exit {
        Exit::Done => 0,
        Exit::NotRun => 1,
        Exit::Usage => 2,
        Exit::Unknown => 3,
        Exit::JobFailed => 4,
    };
    std::process::ExitCode::from(code)
}
