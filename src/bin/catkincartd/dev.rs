//! A whole small deployment in one process, and an example.

use crate::error::Error;
use crate::{log, run};
use catkin_client::Args;
use catkin_daemon::{Daemon, Listeners};
use catkin_schema::settings::{self, Settings};
use catkin_standin::executor::{Executor, Options as ExecutorOptions};
use catkin_standin::platform::Platform;
use catkin_standin::worker::{Options as WorkerOptions, Worker};
use catkin_standin::{Place, Serving, listed};
use clap::Parser;
use error_stack::{Report, ResultExt};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

const SHEET: &str = include_str!("../../../etc/limits.csv");
const EXAMPLE: &str = include_str!("../../../etc/example.txt");
const WORKERS: u64 = 8;
const EXECUTORS: u64 = 4;
const SLOTS: u32 = 8;
const REGION: &str = "dev";
const ZONE: &str = "dev-a";

/// Runs the deployment, shows the example, and goes on until a signal unless `once`.
pub async fn dev(listen: &str, once: bool) -> Result<ExitCode, Report<Error>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::new();
    let mut stand_ins = vec![platform.serve(any).await.change_context(Error::StandIn)?];
    let url = format!("http://{}", stand_ins[0].addr);
    start_hosts(&platform, any, &mut stand_ins).await.change_context(Error::StandIn)?;
    let peer = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).change_context(Error::Daemon)?;
    let settings = settings(listen, &peer, &url)?;
    log::start(&settings.log);
    let http = TcpListener::bind(listen).change_context(Error::Daemon).attach(listen.to_owned())?;
    let listeners = Listeners { http, peer };
    let daemon = Daemon::start(settings, listeners).await.change_context(Error::Daemon)?;
    println!("The daemon listens on {listen}; the stand-in platform on {url}.");
    let shown = example(listen).await;
    if shown.is_ok() && !once {
        println!("\nThe deployment goes on until Ctrl-C. Try: catkincart --server {listen} shards");
        run::signalled().await?;
    }
    daemon.stop().await;
    for stand_in in stand_ins {
        stand_in.stop().await;
    }
    shown.map(|()| ExitCode::SUCCESS)
}

/// Starts workers and executors and puts them on the host list.
async fn start_hosts(
    platform: &Platform,
    any: SocketAddr,
    stand_ins: &mut Vec<Serving>,
) -> std::io::Result<()> {
    for n in 0..WORKERS {
        let serving = Worker::new(n + 1, WorkerOptions::default()).serve(any).await?;
        platform.put_hosts([listed(&format!("worker-{n}"), "", 0, &place(), &serving)]);
        stand_ins.push(serving);
    }
    for service in ["shop-main", "coop-main"] {
        for n in 0..EXECUTORS {
            let opt = ExecutorOptions { slots: SLOTS, ..ExecutorOptions::default() };
            let serving = Executor::new(opt).serve(any).await?;
            platform.put_hosts([listed(
                &format!("{service}-{n}"),
                service,
                SLOTS,
                &place(),
                &serving,
            )]);
            stand_ins.push(serving);
        }
    }
    Ok(())
}

fn place() -> Place {
    Place { region: REGION.into(), zone: ZONE.into(), rack: "rack-0".into() }
}

/// Settings for one daemon that anybody on this machine may use.
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

/// How long the daemon may take until it serves, and how often it is asked.
const READY: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(50);

/// Brings the table of weights and limits in, then runs the example's commands and prints what they answer.
async fn example(listen: &str) -> Result<(), Report<Error>> {
    let sheet = std::env::temp_dir().join(format!("catkincart-{}.csv", std::process::id()));
    std::fs::write(&sheet, SHEET).change_context(Error::Example)?;
    let import = command(listen, &["limits", "import", &sheet.display().to_string()]).await;
    let _ = std::fs::remove_file(&sheet);
    import?;
    let http = catkin_http::Client::default();
    let url = format!("http://{listen}/readyz");
    let ready = async {
        while http.exchange(hyper::Method::GET, &url, "".into(), READY).await.map(|a| a.0)
            != Ok(200)
        {
            tokio::time::sleep(READY_POLL).await;
        }
    };
    tokio::time::timeout(READY, ready).await.change_context(Error::Example)?;
    for line in EXAMPLE.lines().filter(|l| !l.starts_with('#')) {
        println!("\n$ catkincart {line}");
        let words = shell_words::split(line).change_context(Error::Example)?;
        command(listen, &words.iter().map(String::as_str).collect::<Vec<_>>()).await?;
    }
    Ok(())
}

async fn command(listen: &str, words: &[&str]) -> Result<(), Report<Error>> {
    let first = ["catkincart", "--server", listen];
    let all = first.iter().chain(words);
    let args = Args::try_parse_from(all).change_context(Error::Example)?;
    catkin_client::run(args, &mut std::io::stdout()).await.change_context(Error::Example)?;
    Ok(())
}
