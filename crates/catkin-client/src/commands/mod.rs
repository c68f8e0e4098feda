//! Implements the commands.

mod jobs;
mod limits;

use crate::cli::{Args, Command};
use crate::error::{Error, Exit};
use crate::output;
use crate::server::Servers;
use bytes::Bytes;
use clap::CommandFactory;
use hyper::Method;
use serde_json::Value;
use std::io::Write;

/// The connection and the output of a command.
struct Context<'a> {
    servers: Servers,
    output_format: crate::cli::Output,
    out: &'a mut (dyn Write + Send),
}

pub(crate) async fn run(args: Args, out: &mut (dyn Write + Send)) -> Result<Exit, Error> {
    let servers = Servers::new(&args.server, &args.token);
    let mut cx = Context { servers, output_format: args.output, out };
    match args.command {
        Command::Call { row, path, data, key } => call(&mut cx, &row, &path, data, key).await,
        Command::Submit {
            row,
            program,
            tasks,
            cpu_milli,
            memory_mib,
            accelerators,
            gang,
            key,
            wait,
        } => {
            let size = catkin_types::Resources::new(cpu_milli, memory_mib, accelerators);
            let submit = jobs::Submit { row, tasks, size, program, gang };
            jobs::submit(&mut cx, &submit, key, wait).await
        }
        Command::Status { job } => jobs::status(&mut cx, &job).await,
        Command::Result { job } => jobs::result(&mut cx, &job).await,
        Command::Cancel { jobs } => jobs::cancel(&mut cx, &jobs).await,
        Command::Explain { job } => jobs::explain(&mut cx, &job).await,
        Command::Limits { command } => limits::run(&mut cx, command).await,
        Command::Workers => {
            let columns = ["worker", "shard", "rack", "state", "capacity", "free", "tasks"];
            list(&mut cx, "/v1/workers", &columns).await
        }
        Command::Shards => {
            let columns =
                ["shard", "owner", "epoch", "alive", "released", "settled", "free", "waiting"];
            list(&mut cx, "/v1/shards", &columns).await
        }
        Command::Hosts => {
            list(
                &mut cx,
                "/v1/hosts",
                &["id", "kind", "service", "region", "zone", "rack", "addr", "state"],
            )
            .await
        }
        Command::Drain => drain(&mut cx).await,
        Command::Audit { row, by, day } => limits::audit(&mut cx, row, by, day).await,
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "catkincart", &mut script);
            cx.out.write_all(&script)?;
            Ok(Exit::Done)
        }
        Command::Man => {
            let mut page = Vec::new();
            clap_mangen::Man::new(Args::command()).render(&mut page)?;
            cx.out.write_all(&page)?;
            Ok(Exit::Done)
        }
    }
}

async fn call(
    cx: &mut Context<'_>,
    row: &str,
    path: &str,
    data: Option<String>,
    key: Option<String>,
) -> Result<Exit, Error> {
    let path = format!("/v1/call/{row}/{}", path.trim_start_matches('/'));
    let headers: Vec<(&str, &str)> = key.iter().map(|k| ("idempotency-key", k.as_str())).collect();
    let method = if data.is_some() { Method::POST } else { Method::GET };
    let answer =
        cx.servers.send(method, &path, &headers, Bytes::from(data.unwrap_or_default())).await?;
    cx.out.write_all(&answer)?;
    writeln!(cx.out)?;
    Ok(Exit::Done)
}

async fn list(cx: &mut Context<'_>, path: &str, columns: &[&str]) -> Result<Exit, Error> {
    let rows: Vec<Value> = cx.servers.get(path).await?;
    output::list(cx.out, cx.output_format, &rows, columns)?;
    Ok(Exit::Done)
}

async fn drain(cx: &mut Context<'_>) -> Result<Exit, Error> {
    let answer = cx.servers.send(Method::POST, "/v1/drain", &[], Bytes::new()).await?;
    cx.out.write_all(&answer)?;
    Ok(Exit::Done)
}
