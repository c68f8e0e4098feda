//! Runs simulated workers and executors of one zone and adds them to the platform's host list. Prints a line
//! `host NAME ADDRESS` for each, then `ready`.

use catkin_http::Client;
use catkin_standin::executor::{Executor, Options as ExecutorOptions};
use catkin_standin::worker::{Options as WorkerOptions, Worker};
use catkin_standin::{HostLocation, host_entry};
use catkin_types::Resources;
use clap::Parser;
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Simulated workers and executors of one zone.
#[derive(Clone, Parser)]
struct Args {
    /// Base URL of the platform that has the host list.
    #[arg(long)]
    platform: String,
    /// Name of the region.
    #[arg(long)]
    region: String,
    /// Name of the availability zone.
    #[arg(long)]
    zone: String,
    /// Number of workers.
    #[arg(long, default_value_t = 0)]
    workers: u64,
    /// Number of workers per rack.
    #[arg(long, default_value_t = 8)]
    per_rack: u64,
    /// CPU capacity of a worker, in thousandths of a core.
    #[arg(long, default_value_t = 32_000)]
    cpu_milli: u64,
    /// Memory of a worker, in MiB.
    #[arg(long, default_value_t = 131_072)]
    memory_mib: u64,
    /// Lease length: how long a worker runs tasks without a renewal, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    lease_ms: u64,
    /// Number of workers that fail every task.
    #[arg(long, default_value_t = 0)]
    broken: u64,
    /// Number of executors per service.
    #[arg(long, default_value_t = 0)]
    executors: u64,
    /// Name of a service. May be repeated.
    #[arg(long)]
    service: Vec<String>,
    /// Number of requests that an executor runs concurrently.
    #[arg(long, default_value_t = 8)]
    slots: u32,
}

const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let start_us = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros();
    let incarnation = u64::try_from(start_us)?;
    let mut servers = Vec::new();
    let mut hosts = Vec::new();
    for n in 0..args.workers {
        let opt = WorkerOptions {
            capacity: Resources::new(args.cpu_milli, args.memory_mib, 0),
            lease_length: Duration::from_millis(args.lease_ms),
            broken: n < args.broken,
        };
        let server = Worker::new(incarnation + n, opt).serve(any_port).await?;
        let rack = format!("{}-rack-{}", args.zone, n / args.per_rack.max(1));
        hosts.push(host_entry(
            &format!("{}-w{n}", args.zone),
            "",
            0,
            &location(&args, &rack),
            &server,
        ));
        servers.push(server);
    }
    for service in &args.service {
        for n in 0..args.executors {
            let opt = ExecutorOptions { slots: args.slots, ..ExecutorOptions::default() };
            let server = Executor::new(opt).serve(any_port).await?;
            let id = format!("{}-{service}-{n}", args.zone);
            hosts.push(host_entry(&id, service, args.slots, &location(&args, ""), &server));
            servers.push(server);
        }
    }
    let bytes = serde_json::to_vec(&hosts)?;
    let url = format!("{}/v1/hosts", args.platform);
    Client::default().exchange(Method::POST, &url, bytes.into(), REGISTER_TIMEOUT).await?;
    for h in &hosts {
        println!("host {} {}", h.id, h.addr);
    }
    println!("ready");
    for server in servers {
        server.join().await;
    }
    Ok(())
}

fn location(args: &Args, rack: &str) -> HostLocation {
    HostLocation { region: args.region.clone(), zone: args.zone.clone(), rack: rack.to_owned() }
}
