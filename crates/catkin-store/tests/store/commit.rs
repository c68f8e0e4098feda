//! Commits against the stand-in table, with outages and lost answers.

use catkin_standin::Serving;
use catkin_standin::faults::{Faults, Outage};
use catkin_standin::platform::Platform;
use catkin_store::{Error, Options, Store, Txn};
use futures::future::join_all;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::task::JoinHandle;

const PATIENCE: Duration = Duration::from_secs(10);

struct Setup {
    platform: Platform,
    serving: Serving,
    store: Store,
    join: JoinHandle<()>,
}

async fn setup() -> Setup {
    let platform = Platform::new();
    let serving = platform.serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.expect("a port");
    let url = format!("http://{}", serving.addr);
    let timeout = Duration::from_millis(200);
    let opt = Options {
        table_url: url.clone(),
        objects_url: url.clone(),
        hosts_url: url,
        timeout,
        ..Options::default()
    };
    let (store, join) = Store::start(opt).await.expect("an actor");
    Setup { platform, serving, store, join }
}

impl Setup {
    async fn stop(self) {
        self.store.stop();
        self.join.await.expect("it ends");
        self.serving.stop().await;
    }
}

fn insert(key: &str) -> Txn {
    Txn::default().check(key, 0).put(key, "x")
}

#[tokio::test]
async fn writes_at_once_share_few_transactions_and_only_the_conflicting_one_fails() {
    let s = setup().await;
    s.store.commit(insert("k7"), PATIENCE).await.expect("committed");
    let before = s.platform.taken().transactions;
    let writes = (0..100).map(|i| s.store.commit(insert(&format!("k{i}")), PATIENCE));
    let results = join_all(writes).await;
    let failed: Vec<usize> = (0..100).filter(|i| results[*i].is_err()).collect();
    assert_eq!(failed, [7]);
    assert_eq!(results[7], Err(Error::Conflict(vec!["k7".into()])));
    let used = s.platform.taken().transactions - before;
    assert!(used <= 5, "{used}");
    s.stop().await;
}

#[tokio::test]
async fn a_lost_answer_is_settled_to_the_truth() {
    let s = setup().await;
    s.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    s.store.commit(insert("a"), PATIENCE).await.expect("it had taken effect");
    assert!(s.store.row("a").await.expect("read").is_some());
    s.stop().await;
}

#[tokio::test]
async fn a_write_that_hung_without_effect_is_settled_as_having_none() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Hang, ..Faults::default() });
    let store = s.store.clone();
    let write = tokio::spawn(async move { store.commit(insert("a"), PATIENCE).await });
    while s.store.counts().lost.load(std::sync::atomic::Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    s.platform.set_faults(Faults::default());
    let result = write.await.expect("it ends");
    assert!(matches!(result, Err(Error::Down(_))), "{result:?}");
    assert!(s.store.row("a").await.expect("read").is_none());
    s.stop().await;
}

#[tokio::test]
async fn a_caller_that_can_wait_no_longer_hears_unknown_and_never_a_guess() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Hang, ..Faults::default() });
    let first = s.store.commit(insert("a"), Duration::from_millis(500)).await;
    assert_eq!(first, Err(Error::Unknown));
    // One that was not sent yet is certain to have had no effect.
    let second = s.store.commit(insert("b"), Duration::from_millis(100)).await;
    assert!(matches!(second, Err(Error::Down(_))), "{second:?}");
    s.stop().await;
}

#[tokio::test]
async fn a_refusal_is_certain() {
    let s = setup().await;
    s.platform.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    assert!(matches!(s.store.commit(insert("a"), PATIENCE).await, Err(Error::Down(_))));
    s.platform.set_faults(Faults::default());
    assert!(s.store.row("a").await.expect("read").is_none());
    s.stop().await;
}
