//! Runs a small deployment in one process, and an example session.

use crate::error::Error;
use crate::{log, run};
use catkin_client::Args;
use catkin_daemon::{Daemon, Listeners};
use catkin_schema::settings::{self, Settings};
use catkin_standin::executor::{Executor, Options as ExecutorOptions};
use catkin_standin::platform::Platform;
use catkin_standin::worker::{Options as WorkerOptions, Worker};
use catkin_standin::{HostLocation, ServerHandle, host_entry};
use clap::Parser;
use error_stack::{Report, ResultExt};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

const LIMITS_CSV: &str = include_str!("../../../etc/limits.csv");
const EXAMPLE_SESSION: &str = include_str!("../../../etc/example.txt");
const WORKER_COUNT: u64 = 8;
const EXECUTORS_PER_SERVICE: u64 = 4;
const SLOTS_PER_EXECUTOR: u32 = 8;
const REGION: &str = "dev";
const ZONE: &str = "dev-a";

/// Runs the deployment and the example session. Unless `once` is set, the deployment then runs until SIGTERM or SIGINT.
pub async fn dev(listen: &str, once: bool) -> Result<ExitCode, Report<Error>> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::new();
    let mut stand_ins = vec![platform.serve(any_port).await.change_context(Error::StandIn)?];
    let url = format!("http://{}", stand_ins[0].addr);
    start_hosts(&platform, any_port, &mut stand_ins).await.change_context(Error::StandIn)?;
    let peer = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context(Error::Daemon)?;
    let settings = settings(listen, &peer, &url)?;
    log::start(&settings.log);
    let http = TcpListener::bind(listen).change_context(Error::Daemon).attach(listen.to_owned())?;
    let listeners = Listeners { http, peer };
    let daemon = Daemon::start(settings, listeners).await.change_context(Error::Daemon)?;
    println!("The daemon listens on {listen}; the stand-in platform on {url}.");
    let session_result = run_example(listen).await;
    if session_result.is_ok() && !once {
        println!("\nThe deployment runs until Ctrl-C. Try: catkincart --server {listen} shards");
        run::wait_for_stop_signal().await?;
    }
    daemon.stop().await;
    for stand_in in stand_ins {
        stand_in.stop().await;
    }
    session_result.map(|()| ExitCode::SUCCESS)
}

/// Starts workers and executors and adds them to the platform's list of hosts.
async fn start_hosts(
    platform: &Platform,
    any_port: SocketAddr,
    stand_ins: &mut Vec<ServerHandle>,
) -> std::io::Result<()> {
    for n in 0..WORKER_COUNT {
        let serving = Worker::new(n + 1, WorkerOptions::default()).serve(any_port).await?;
        platform.put_hosts([host_entry(&format!("worker-{n}"), "", 0, &place(), &serving)]);
        stand_ins.push(serving);
    }
    for service in ["shop-main", "coop-main"] {
        for n in 0..EXECUTORS_PER_SERVICE {
            let options =
                ExecutorOptions { slots: SLOTS_PER_EXECUTOR, ..ExecutorOptions::default() };
            let serving = Executor::new(options).serve(any_port).await?;
            platform.put_hosts([host_entry(
                &format!("{service}-{n}"),
                service,
                SLOTS_PER_EXECUTOR,
                &place(),
                &serving,
            )]);
            stand_ins.push(serving);
        }
    }
    Ok(())
}

fn place() -> HostLocation {
    HostLocation { region: REGION.into(), zone: ZONE.into(), rack: "rack-0".into() }
}

/// Builds the settings of one daemon that accepts every client of this machine without a token.
fn settings(listen: &str, peer: &TcpListener, url: &str) -> Result<Settings, Report<Error>> {
    let peer = peer.local_addr().change_context(Error::Daemon)?;
    let text = format!(
        r#"
[daemon]
id = "dev-1"
region = "{REGION}"
zone = "{ZONE}"
http_listen = "{listen}"
peer_listen = "{peer}"

[platform]
table_url = "{url}"
objects_url = "{url}"
hosts_url = "{url}"

[access]
open = true

[log]
filter = "warn"
"#
    );
    settings::parse("dev", &text).map_err(|problems| {
        problems.into_iter().fold(Report::new(Error::Daemon), |r, p| r.attach(p.to_string()))
    })
}

/// Bounds the time until the daemon reports that it is ready, and each request that asks for it.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which the daemon is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Imports the table of weights and limits, then runs the commands of the example session and prints their output.
async fn run_example(listen: &str) -> Result<(), Report<Error>> {
    let sheet = std::env::temp_dir().join(format!("catkincart-{}.csv", std::process::id()));
    std::fs::write(&sheet, LIMITS_CSV).change_context(Error::Example)?;
    let import = run_command(listen, &["limits", "import", &sheet.display().to_string()]).await;
    let _ = std::fs::remove_file(&sheet);
    import?;
    let http = catkin_http::Client::default();
    let url = format!("http://{listen}/readyz");
    let ready = async {
        while http.exchange(hyper::Method::GET, &url, "".into(), READY_TIMEOUT).await.map(|a| a.0)
            != Ok(200)
        {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await.change_context(Error::Example)?;
    for line in EXAMPLE_SESSION.lines().filter(|l| !l.starts_with('#')) {
        println!("\n$ catkincart {line}");
        let client_args = shell_words::split(line).change_context(Error::Example)?;
        run_command(listen, &client_args.iter().map(String::as_str).collect::<Vec<_>>()).await?;
    }
    Ok(())
}

async fn run_command(listen: &str, client_args: &[&str]) -> Result<(), Report<Error>> {
    let common_args = ["catkincart", "--server", listen];
    let command_line = common_args.iter().chain(client_args);
    let args = Args::try_parse_from(command_line).change_context(Error::Example)?;
    catkin_client::run(args, &mut std::io::stdout()).await.change_context(Error::Example)?;
    Ok(())
}
