//! Workers that do not answer, and what the next owner learns of them.

use crate::deployment::{Deployment, Node, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_node::table::{OwnerRecord, decode, owner_key};
use catkin_platform::store::{StoreClient, Wait};
use catkin_platform_standin::Options;
use catkin_platform_standin::worker::Mode;

/// The worker that does not answer.
const SILENT_WORKER: usize = 0;
/// The job whose tasks fill all workers.
const JOB: u64 = 51;
const TASKS: u32 = 16;

/// Returns whether the owner row names the worker as silent.
async fn is_on_record(store: &StoreClient, id: &str) -> bool {
    let (row, _) = store.read_one(&owner_key(), Wait::default()).await.expect("the store answers");
    let record: Option<OwnerRecord> = row.as_ref().and_then(decode);
    record.is_some_and(|r| r.silent_workers_ms.contains_key(id))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_owner_learns_which_workers_were_silent() {
    let mut d = Deployment::start("silent", 2, &Options { workers: 2, ..Options::default() }).await;
    let store =
        StoreClient::new(catkin_http::Client::default(), &d.platform.store_addr.to_string());
    submit_until_accepted(&d, 0, JOB, &spec(vec![step(TASKS, 60_000)])).await;
    eventually("all tasks run", async || d.platform.checker.running().len() == TASKS as usize)
        .await;
    let id = d.platform.workers[SILENT_WORKER].id().to_owned();
    d.platform.workers[SILENT_WORKER].set_mode(Mode::Hang);
    eventually("the worker is on record", async || is_on_record(&store, &id).await).await;
    let owner = d.owner().expect("no daemon owns the cell");
    d.nodes[owner].kill();
    let knows = |n: &Node| {
        let is_claim = |l: &serde_json::Value| l["message"] == "lead: taken over";
        n.log_lines().iter().any(|l| is_claim(l) && l["silent_workers"] == 1)
    };
    eventually("the new owner knows", async || d.nodes.iter().any(knows)).await;
    // It is used again once it answers.
    d.platform.workers[SILENT_WORKER].set_mode(Mode::Serve);
    eventually("the worker is off the record", async || !is_on_record(&store, &id).await).await;
    eventually("all tasks run", async || d.platform.checker.running().len() == TASKS as usize)
        .await;
    d.stop_and_check().await;
}
