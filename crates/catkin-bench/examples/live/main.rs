//! Measures daemons that run as processes: cost when idle, waits, a flood, a batch. Stand-ins run in this process.
//!
//!     cargo build --release --bins && cargo run --release -p catkin-bench --example live

mod deployment;
mod load;

use catkin_bench::table::heading;
use clap::Parser;
use deployment::Deployment;
use load::{Mix, Stream};
use std::time::Duration;

/// Measures daemons that run as processes.
#[derive(Parser)]
struct Args {
    /// The daemon's program.
    #[arg(long, default_value = "target/release/catkincartd")]
    program: std::path::PathBuf,
    /// How long each measurement takes, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// How many workers there are.
    #[arg(long, default_value_t = 50)]
    workers: u64,
    /// Measures only what the daemons cost for workers and running tasks.
    #[arg(long)]
    slopes: bool,
}

/// Tasks of a worker that is filled.
const TASKS_PER_WORKER: u64 = 25;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let span = Duration::from_secs(args.seconds);
    let mut d = Deployment::start(&args.program, args.workers).await?;
    idle(&mut d, args.workers, span).await?;
    if args.slopes {
        held(&mut d, args.workers, span).await?;
    } else {
        waits(&d, span).await?;
        batch(&mut d, args.workers).await?;
    }
    d.stop().await;
    Ok(())
}

async fn idle(d: &mut Deployment, workers: u64, span: Duration) -> Result<()> {
    let before = d.usage().await?;
    tokio::time::sleep(span).await;
    let after = d.usage().await?;
    let columns = "| daemon | processor, % of a core | memory, MiB | worker messages/s | worker bytes/s | peer bytes/s in zone | between regions | platform bytes/s | table reads/s | transactions/s |";
    heading(
        &format!("Idle, {workers} workers and 12 executors in one region, three daemons"),
        columns,
    );
    for (b, a) in before.iter().zip(&after) {
        let rate = |f: fn(&deployment::Usage) -> f64| (f(a) - f(b)) / span.as_secs_f64();
        println!(
            "| {} | {:.2} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.2} |",
            a.id,
            rate(|u| u.cpu_s) * 100.0,
            a.memory_mib,
            rate(|u| u.worker_messages),
            rate(|u| u.worker_bytes),
            rate(|u| u.zone_bytes),
            rate(|u| u.far_bytes),
            rate(|u| u.platform_bytes),
            rate(|u| u.reads),
            rate(|u| u.transactions),
        );
    }
    Ok(())
}

/// Fills the workers with tasks that run on, and measures again.
async fn held(d: &mut Deployment, workers: u64, span: Duration) -> Result<()> {
    let tasks = u32::try_from(workers * TASKS_PER_WORKER)?;
    d.submit(tasks, "sleep 600000").await?;
    tokio::time::sleep(span).await;
    idle(d, workers, span).await
}

async fn waits(d: &Deployment, span: Duration) -> Result<()> {
    let columns = "| load | offered/s | done | not run | other | p50, ms | p99, ms | p99.9, ms | p99 of a refusal, ms |";
    heading(
        "Quotes of 20 ms over 32 slots, from request to whole answer; a flood of 100 ms requests beside them",
        columns,
    );
    let quotes = Stream { row: "quotes", ms: 20, per_second: 100.0 };
    for (name, per_second) in [("quotes alone", 0.0), ("10x flood", 3_200.0)] {
        for urgent in [false, true] {
            if per_second == 0.0 && urgent {
                continue;
            }
            let row = if urgent { "flood-urgent" } else { "flood" };
            let flood = Stream { row, ms: 100, per_second };
            let mix = load::run(&d.addrs, &[quotes, flood], span).await;
            for (stream, out) in [(quotes, &mix[0]), (flood, &mix[1])] {
                if stream.per_second > 0.0 {
                    print(&format!("{name}: {}", stream.row), stream.per_second, out);
                }
            }
        }
    }
    Ok(())
}

fn print(name: &str, per_second: f64, m: &Mix) {
    println!(
        "| {name} | {per_second:.0} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
        m.done,
        m.not_run,
        m.other,
        m.percentile(0.5),
        m.percentile(0.99),
        m.percentile(0.999),
        m.refusal_p99(),
    );
}

async fn batch(d: &mut Deployment, workers: u64) -> Result<()> {
    const TASKS: u32 = 20_000;
    let before = d.usage().await?;
    let took = d.run_job(TASKS, "sleep 200").await?;
    let after = d.usage().await?;
    let sum = |f: fn(&deployment::Usage) -> f64| -> f64 {
        after.iter().map(f).sum::<f64>() - before.iter().map(f).sum::<f64>()
    };
    heading(
        &format!("A batch of {TASKS} tasks of 200 ms and half a core on {workers} workers"),
        "| s to the end | tasks/s | processor time a task, µs | control bytes a task | table transactions | rows |",
    );
    let bytes = sum(|u| u.worker_bytes) + sum(|u| u.zone_bytes) + sum(|u| u.far_bytes);
    println!(
        "| {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
        took.as_secs_f64(),
        f64::from(TASKS) / took.as_secs_f64(),
        sum(|u| u.cpu_s) * 1e6 / f64::from(TASKS),
        bytes / f64::from(TASKS),
        sum(|u| u.transactions),
        sum(|u| u.rows),
    );
    Ok(())
}
