//! Runs the simulated platform. Prints `listening ADDRESS`.

use catkin_standin::platform::Platform;
use clap::Parser;
use std::net::SocketAddr;

/// Table service, object store and host list on one port.
#[derive(Parser)]
struct Args {
    /// Address to listen on. Port 0 selects any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let server = Platform::new().serve(Args::parse().listen).await?;
    println!("listening {}", server.addr);
    server.join().await;
    Ok(())
}
