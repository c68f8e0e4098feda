//! Commits to a simulated table service, with outages and lost answers.

use catkin_standin::ServerHandle;
use catkin_standin::faults::{Faults, Outage};
use catkin_standin::platform::Platform;
use catkin_store::{Error, Options, Store, Txn};
use futures::future::join_all;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::task::JoinHandle;

const MAX_WAIT: Duration = Duration::from_secs(10);

struct Setup {
    platform: Platform,
    serving: ServerHandle,
    store: Store,
    join: JoinHandle<()>,
}

async fn setup() -> Setup {
    let platform = Platform::new();
    let serving = platform
        .serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .expect("listen on a free port");
    let url = format!("http://{}", serving.addr);
    let timeout = Duration::from_millis(200);
    let opt = Options {
        table_url: url.clone(),
        objects_url: url.clone(),
        hosts_url: url,
        timeout,
        ..Options::default()
    };
    let (store, join) = Store::start(opt).await.expect("start the store");
    Setup { platform, serving, store, join }
}

impl Setup {
    async fn stop(self) {
        self.store.stop();
        self.join.await.expect("the actor ends without a panic");
        self.serving.stop().await;
    }
}

fn insert(key: &str) -> Txn {
    Txn::default().check(key, 0).put(key, "x")
}

#[tokio::test]
async fn concurrent_writes_share_few_transactions_and_only_the_conflicting_one_fails() {
    let s = setup().await;
    s.store.commit(insert("k7"), MAX_WAIT).await.expect("committed");
    let before = s.platform.request_counts().transactions;
    let writes = (0..100).map(|i| s.store.commit(insert(&format!("k{i}")), MAX_WAIT));
    let results = join_all(writes).await;
    let failed: Vec<usize> = (0..100).filter(|i| results[*i].is_err()).collect();
    assert_eq!(failed, [7]);
    assert_eq!(results[7], Err(Error::Conflict(vec!["k7".into()])));
    let used = s.platform.request_counts().transactions - before;
    assert!(used <= 5, "100 writes took {used} transactions");
    s.stop().await;
}

#[tokio::test]
async fn a_transaction_with_a_lost_answer_is_resolved_as_committed() {
    let s = setup().await;
    s.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    s.store.commit(insert("a"), MAX_WAIT).await.expect("resolved as committed");
    assert!(s.store.row("a").await.expect("read the row").is_some());
    s.stop().await;
}

#[tokio::test]
async fn a_transaction_that_the_table_never_carried_out_is_resolved_as_aborted() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Hang, ..Faults::default() });
    let store = s.store.clone();
    let write = tokio::spawn(async move { store.commit(insert("a"), MAX_WAIT).await });
    while s.store.counts().lost.load(std::sync::atomic::Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    s.platform.set_faults(Faults::default());
    let result = write.await.expect("the task ends without a panic");
    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
    assert!(s.store.row("a").await.expect("read the row").is_none());
    s.stop().await;
}

#[tokio::test]
async fn a_timeout_gives_unknown_for_a_sent_write_and_unavailable_for_an_unsent_one() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Hang, ..Faults::default() });
    let first = s.store.commit(insert("a"), Duration::from_millis(500)).await;
    assert_eq!(first, Err(Error::Unknown));
    // The second write waits for the first one's transaction. It was not sent, so that it certainly had no effect.
    let second = s.store.commit(insert("b"), Duration::from_millis(100)).await;
    assert!(matches!(second, Err(Error::Unavailable(_))), "{second:?}");
    s.stop().await;
}

#[tokio::test]
async fn a_refused_write_has_no_effect() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    assert!(matches!(s.store.commit(insert("a"), MAX_WAIT).await, Err(Error::Unavailable(_))));
    s.platform.set_faults(Faults::default());
    assert!(s.store.row("a").await.expect("read the row").is_none());
    s.stop().await;
}
