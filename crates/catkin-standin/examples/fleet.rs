//! Stand-in workers and executors of one zone as a process of their own, which puts them on the host list. Prints a
//! line `host NAME ADDRESS` for each, then `ready`.

use catkin_http::Client;
use catkin_standin::executor::{Executor, Options as ExecutorOptions};
use catkin_standin::worker::{Options as WorkerOptions, Worker};
use catkin_standin::{Place, listed};
use catkin_types::Resources;
use clap::Parser;
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Workers and executors of one zone.
#[derive(Clone, Parser)]
struct Args {
    /// The platform that has the host list.
    #[arg(long)]
    platform: String,
    /// The region.
    #[arg(long)]
    region: String,
    /// The availability zone.
    #[arg(long)]
    zone: String,
    /// How many workers.
    #[arg(long, default_value_t = 0)]
    workers: u64,
    /// How many workers stand in a rack.
    #[arg(long, default_value_t = 8)]
    per_rack: u64,
    /// Processors of a worker, in thousandths of a core.
    #[arg(long, default_value_t = 32_000)]
    cpu_milli: u64,
    /// Memory of a worker, in MiB.
    #[arg(long, default_value_t = 131_072)]
    memory_mib: u64,
    /// How long a worker runs tasks without a renewal, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    lease_ms: u64,
    /// How many of the workers fail every task.
    #[arg(long, default_value_t = 0)]
    broken: u64,
    /// How many executors of each service.
    #[arg(long, default_value_t = 0)]
    executors: u64,
    /// The services.
    #[arg(long)]
    service: Vec<String>,
    /// Slots of an executor.
    #[arg(long, default_value_t = 8)]
    slots: u32,
}

const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros();
    let incarnation = u64::try_from(born)?;
    let mut running = Vec::new();
    let mut hosts = Vec::new();
    for n in 0..args.workers {
        let opt = WorkerOptions {
            capacity: Resources::new(args.cpu_milli, args.memory_mib, 0),
            length: Duration::from_millis(args.lease_ms),
            broken: n < args.broken,
        };
        let serving = Worker::new(incarnation + n, opt).serve(any).await?;
        let rack = format!("{}-rack-{}", args.zone, n / args.per_rack.max(1));
        hosts.push(listed(&format!("{}-w{n}", args.zone), "", 0, &place(&args, &rack), &serving));
        running.push(serving);
    }
    for service in &args.service {
        for n in 0..args.executors {
            let opt = ExecutorOptions { slots: args.slots, ..ExecutorOptions::default() };
            let serving = Executor::new(opt).serve(any).await?;
            let id = format!("{}-{service}-{n}", args.zone);
            hosts.push(listed(&id, service, args.slots, &place(&args, ""), &serving));
            running.push(serving);
        }
    }
    let bytes = serde_json::to_vec(&hosts)?;
    let url = format!("{}/v1/hosts", args.platform);
    Client::default().exchange(Method::POST, &url, bytes.into(), TIMEOUT).await?;
    for h in &hosts {
        println!("host {} {}", h.id, h.addr);
    }
    println!("ready");
    for serving in running {
        serving.join().await;
    }
    Ok(())
}

fn place(args: &Args, rack: &str) -> Place {
    Place { region: args.region.clone(), zone: args.zone.clone(), rack: rack.to_owned() }
}
