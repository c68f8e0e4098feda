//! Start and stop orders to workers.

use super::{Message, OwnerState};
use catkin_cell::worker::Reply;
use catkin_cell::{Start, Stop, Task};
use catkin_types::id::format_job;
use std::sync::Arc;
use std::time::Duration;

/// The timeout of an order to a worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

impl OwnerState {
    pub(super) fn order_start(&mut self, start_order: Start) {
        let (worker, addr) = self.cell.contact(start_order.worker);
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let reply = cx.workers.start(&worker, &addr, &start_order, ORDER_TIMEOUT).await;
            cx.metrics.record_order("start", reply);
            if reply != Reply::Done {
                log(start_order.task, start_order.run, &worker, "start", reply);
            }
            drop(myself.send_message(Message::StartReply(Box::new(start_order), reply)));
        });
    }

    pub(super) fn order_stop(&mut self, stop_order: Stop) {
        let (worker, addr) = self.cell.contact(stop_order.worker);
        let (cx, myself) = (Arc::clone(&self.cx), self.myself.clone());
        self.spawn(async move {
            let reply = cx.workers.stop(&worker, &addr, &stop_order, ORDER_TIMEOUT).await;
            cx.metrics.record_order("stop", reply);
            log(stop_order.task, stop_order.run, &worker, "stop", reply);
            drop(myself.send_message(Message::StopReply(Box::new(stop_order), reply)));
        });
    }
}

fn log(task: Task, run: u32, worker: &str, order: &str, reply: Reply) {
    tracing::info!(
        job = format_job(task.step.job),
        step = task.step.step,
        index = task.index,
        run,
        worker,
        "owner: {order} order answered {reply:?}"
    );
}
