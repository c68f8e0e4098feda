//! Writes that the store refuses for good: only the job concerned stands still.

use crate::deployment::{Deployment, eventually};
use crate::path::{spec, step, submit_until_accepted};
use catkin_cell::Job;
use catkin_cell::job::Step;
use catkin_node::table::to_json;
use catkin_platform_standin::Options;
use catkin_platform_standin::platform::{QUEUE, SERVICE};
use catkin_types::id::format_job;

/// The largest value of a row of the table service.
const MAX_ROW_BYTES: usize = 65_536;
/// Two jobs of one part.
const REFUSED: u64 = 40;
const OTHER: u64 = 44;

/// A refused progress row was sent again for ever, and no start of its part became durable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_progress_row_does_not_block_the_other_jobs_of_its_part() {
    let d = Deployment::start("refused-progress", 2, &Options::default()).await;
    d.platform.store.refuse_row("progress", &format_job(REFUSED));
    submit_until_accepted(&d, 0, REFUSED, &spec(vec![step(2, 100)])).await;
    let store = &d.platform.store;
    eventually("its progress is refused", async || store.refusal_count() > 0).await;
    submit_until_accepted(&d, 1, OTHER, &spec(vec![step(2, 100)])).await;
    d.wait_state(OTHER, "completed").await;
    assert_eq!(d.platform.checker.start_count_of(REFUSED), 0, "its starts are not durable");
    let owner = &d.nodes[d.owner().expect("no daemon owns the cell")];
    let refused = owner.metric("catkin_rows_refused_total{").await;
    assert_eq!(refused, Some(1.0), "it is counted, and not sent again");
    assert!(store.refusal_count() <= 3, "sent {} times", store.refusal_count());
    let is_report = |l: &serde_json::Value| l["message"] == "owner: row refused for good";
    let report = owner.log_lines().into_iter().find(is_report).expect("it is logged");
    assert_eq!(report["job"], format_job(REFUSED));
    let cancelled = d.client.cancel(d.nodes[0].client_addr(), REFUSED).await;
    assert_eq!(cancelled.status, Some(200));
    d.wait_state(REFUSED, "cancelled").await;
    d.stop_and_check().await;
}

/// A refused job was answered with 503, so that its client sent it again and again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_the_store_refuses_for_good_is_refused_for_good() {
    let d = Deployment::start("refused-job", 2, &Options::default()).await;
    d.platform.store.refuse_row("job", &format_job(REFUSED));
    let job = spec(vec![step(1, 100)]);
    for node in d.nodes.iter().chain(&d.nodes) {
        let answer = d.client.submit(node.client_addr(), REFUSED, &job).await;
        assert_eq!(answer.status, Some(413), "{answer:?}");
    }
    d.platform.checker.submitted(OTHER, &job);
    let answer = d.client.submit(d.nodes[0].client_addr(), OTHER, &job).await;
    assert_eq!(answer.status, Some(200), "the service is available: {answer:?}");
    d.wait_state(OTHER, "completed").await;
    eventually("the refused job is not known", async || {
        d.client.state(d.nodes[1].client_addr(), REFUSED).await.status == Some(410)
    })
    .await;
    d.stop_and_check().await;
}

/// The row of a cancelled job is longer. A job that filled its row was accepted and could never be cancelled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_leaves_no_room_for_its_cancellation_is_refused() {
    let d = Deployment::start("refused-full", 1, &Options::default()).await;
    let step = Step { count: 1, label: Some(String::new()), ..Step::default() };
    let (queue, service) = (QUEUE.0.to_owned(), SERVICE.to_owned());
    let job = Job { queue, service, steps: vec![step], accepted_ms: 999_999, ..Job::default() };
    let label = "x".repeat(MAX_ROW_BYTES - to_json(&job).len());
    let to = d.nodes[0].client_addr();
    let answer = d.client.submit_labelled(to, REFUSED, &label).await;
    let cancelled = d.client.cancel(to, REFUSED).await;
    assert_eq!((answer.status, cancelled.status), (Some(413), Some(410)));
    d.stop_and_check().await;
}
