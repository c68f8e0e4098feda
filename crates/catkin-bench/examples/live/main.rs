//! Measures daemon processes: idle cost, waiting times, a flood and a batch job. The simulated platform, workers and
//! executors run in this process.
//!
//!     cargo build --release --bins && cargo run --release -p catkin-bench --example live

mod deployment;
mod load;

use catkin_bench::table::print_heading;
use clap::Parser;
use deployment::Deployment;
use load::{RequestStream, StreamResult};
use std::time::Duration;

/// Measures daemon processes.
#[derive(Parser)]
struct Args {
    /// Path of the daemon's executable.
    #[arg(long, default_value = "target/release/catkincartd")]
    program: std::path::PathBuf,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 50)]
    workers: u64,
    /// Measures only the cost of workers and running tasks.
    #[arg(long)]
    slopes: bool,
}

/// The number of long tasks per worker when the workers are loaded.
const TASKS_PER_WORKER: u64 = 25;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let duration = Duration::from_secs(args.seconds);
    let mut d = Deployment::start(&args.program, args.workers).await?;
    measure_idle(&mut d, args.workers, duration).await?;
    if args.slopes {
        measure_loaded(&mut d, args.workers, duration).await?;
    } else {
        measure_waits(&d, duration).await?;
        measure_batch(&mut d, args.workers).await?;
    }
    d.stop().await;
    Ok(())
}

async fn measure_idle(d: &mut Deployment, workers: u64, duration: Duration) -> Result<()> {
    let before = d.usage().await?;
    tokio::time::sleep(duration).await;
    let after = d.usage().await?;
    let columns = "| daemon | processor, % of a core | memory, MiB | worker messages/s | worker bytes/s | peer bytes/s in zone | between regions | platform bytes/s | table reads/s | transactions/s |";
    print_heading(
        &format!("Idle, {workers} workers and 12 executors in one region, three daemons"),
        columns,
    );
    for (b, a) in before.iter().zip(&after) {
        let rate = |f: fn(&deployment::Usage) -> f64| (f(a) - f(b)) / duration.as_secs_f64();
        println!(
            "| {} | {:.2} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.2} |",
            a.id,
            rate(|u| u.cpu_s) * 100.0,
            a.memory_mib,
            rate(|u| u.worker_messages),
            rate(|u| u.worker_bytes),
            rate(|u| u.in_zone_bytes),
            rate(|u| u.between_regions_bytes),
            rate(|u| u.platform_bytes),
            rate(|u| u.reads),
            rate(|u| u.transactions),
        );
    }
    Ok(())
}

/// Fills the workers with tasks that outlast the measurement, and measures again.
async fn measure_loaded(d: &mut Deployment, workers: u64, duration: Duration) -> Result<()> {
    let tasks = u32::try_from(workers * TASKS_PER_WORKER)?;
    d.submit(tasks, "sleep 600000").await?;
    tokio::time::sleep(duration).await;
    measure_idle(d, workers, duration).await
}

async fn measure_waits(d: &Deployment, duration: Duration) -> Result<()> {
    let columns = "| load | offered/s | done | not run | other | p50, ms | p99, ms | p99.9, ms | p99 of a refusal, ms |";
    print_heading(
        "Quotes of 20 ms over 32 slots, from request to whole answer; a flood of 100 ms requests beside them",
        columns,
    );
    let quotes = RequestStream { row: "quotes", service_time_ms: 20, rate_per_s: 100.0 };
    for (name, rate_per_s) in [("quotes alone", 0.0), ("10x flood", 3_200.0)] {
        for urgent in [false, true] {
            if rate_per_s == 0.0 && urgent {
                continue;
            }
            let row = if urgent { "flood-urgent" } else { "flood" };
            let flood = RequestStream { row, service_time_ms: 100, rate_per_s };
            let results = load::run_streams(&d.addrs, &[quotes, flood], duration).await;
            for (stream, out) in [(quotes, &results[0]), (flood, &results[1])] {
                if stream.rate_per_s > 0.0 {
                    print_result(&format!("{name}: {}", stream.row), stream.rate_per_s, out);
                }
            }
        }
    }
    Ok(())
}

fn print_result(name: &str, rate_per_s: f64, m: &StreamResult) {
    println!(
        "| {name} | {rate_per_s:.0} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
        m.done,
        m.not_run,
        m.other,
        m.percentile(0.5),
        m.percentile(0.99),
        m.percentile(0.999),
        m.refusal_p99(),
    );
}

async fn measure_batch(d: &mut Deployment, workers: u64) -> Result<()> {
    const TASKS: u32 = 20_000;
    let before = d.usage().await?;
    let elapsed = d.run_job(TASKS, "sleep 200").await?;
    let after = d.usage().await?;
    let sum = |f: fn(&deployment::Usage) -> f64| -> f64 {
        after.iter().map(f).sum::<f64>() - before.iter().map(f).sum::<f64>()
    };
    print_heading(
        &format!("A batch of {TASKS} tasks of 200 ms and half a core on {workers} workers"),
        "| s to the end | tasks/s | processor time a task, µs | control bytes a task | table transactions | rows |",
    );
    let bytes =
        sum(|u| u.worker_bytes) + sum(|u| u.in_zone_bytes) + sum(|u| u.between_regions_bytes);
    println!(
        "| {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
        elapsed.as_secs_f64(),
        f64::from(TASKS) / elapsed.as_secs_f64(),
        sum(|u| u.cpu_s) * 1e6 / f64::from(TASKS),
        bytes / f64::from(TASKS),
        sum(|u| u.transactions),
        sum(|u| u.rows),
    );
    Ok(())
}
