//! The stand-in platform as a process of its own. Prints `listening ADDRESS`.

use catkin_standin::platform::Platform;
use clap::Parser;
use std::net::SocketAddr;

/// Table service, object store and host list on one port.
#[derive(Parser)]
struct Args {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let serving = Platform::new().serve(Args::parse().listen).await?;
    println!("listening {}", serving.addr);
    serving.join().await;
    Ok(())
}
