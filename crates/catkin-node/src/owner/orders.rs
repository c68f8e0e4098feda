//! Orders to workers.

use super::{Message, Running};
use catkin_cell::worker::Reply;
use catkin_cell::{Start, Stop, Task};
use catkin_types::id::format_job;
use std::sync::Arc;
use std::time::Duration;

/// How long a worker may take to answer an order.
const PATIENCE: Duration = Duration::from_millis(600);

impl Running {
    pub(super) fn order_start(&mut self, s: Start) {
        let (worker, addr) = self.cell.contact(s.worker);
        let (cx, me, epoch) = (Arc::clone(&self.cx), self.me.clone(), self.cell.epoch());
        self.spawn(async move {
            let reply = cx.workers.start(&worker, &addr, &s, epoch, PATIENCE).await;
            cx.metrics.ordered("start", reply);
            if reply != Reply::Done {
                log(s.task, s.run, &worker, "start", reply);
            }
            drop(me.send_message(Message::Started(Box::new(s), reply)));
        });
    }

    pub(super) fn order_stop(&mut self, s: Stop) {
        let (worker, addr) = self.cell.contact(s.worker);
        let (cx, me, epoch) = (Arc::clone(&self.cx), self.me.clone(), self.cell.epoch());
        self.spawn(async move {
            let reply = cx.workers.stop(&worker, &addr, &s, epoch, PATIENCE).await;
            cx.metrics.ordered("stop", reply);
            log(s.task, s.run, &worker, "stop", reply);
            drop(me.send_message(Message::Stopped(Box::new(s), reply)));
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
        "owner: {order} answered {reply:?}"
    );
}
