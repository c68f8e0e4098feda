//! Orders to workers.

use super::{Message, Running};
use catkin_cell::worker::Reply;
use catkin_cell::{Start, Stop};
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
            if reply != Reply::Done {
                tracing::info!(
                    job = format!("{:016x}", s.task.step.job),
                    step = s.task.step.step,
                    index = s.task.index,
                    run = s.run,
                    worker,
                    "owner: start answered {reply:?}"
                );
            }
            drop(me.send_message(Message::Started(Box::new(s), reply)));
        });
    }

    pub(super) fn order_stop(&mut self, s: Stop) {
        let (worker, addr) = self.cell.contact(s.worker);
        let (cx, me, epoch) = (Arc::clone(&self.cx), self.me.clone(), self.cell.epoch());
        self.spawn(async move {
            let reply = cx.workers.stop(&worker, &addr, &s, epoch, PATIENCE).await;
            tracing::info!(
                job = format!("{:016x}", s.task.step.job),
                step = s.task.step.step,
                index = s.task.index,
                run = s.run,
                worker,
                "owner: stop answered {reply:?}"
            );
            drop(me.send_message(Message::Stopped(Box::new(s), reply)));
        });
    }
}
