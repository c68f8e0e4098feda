//! Endpoints to read and edit the table of weights and limits.

use super::{Caller, Failure, Gate, GateResult};
use crate::limits::{self, Outcome};
use crate::rows::{self, Audit};
use catkin_http::{Body, body, query};
use catkin_limits::error::Conflict;
use catkin_limits::{Edit, Error as EditError, sheet};
use catkin_types::{Answer, Code};
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use serde::Serialize;

/// The response to an edit.
#[derive(Serialize)]
struct Edited<'a> {
    #[serde(flatten)]
    answer: Answer,
    version: u64,
    pending: &'a [String],
    conflicts: &'a [Conflict],
}

/// The maximum number of audit trail entries in one response; the newest are kept.
const MAX_AUDIT_ENTRIES: usize = 1_000;

impl Gate {
    pub(super) fn read_limits(&self) -> GateResult {
        let table = self.cx.table().ok_or_else(|| Failure::from_code(Code::NO_LIMITS))?;
        Ok(body::json(200, &*table))
    }

    pub(super) fn read_limits_csv(&self) -> GateResult {
        let table = self.cx.table().ok_or_else(|| Failure::from_code(Code::NO_LIMITS))?;
        Ok(body::text(200, sheet::write(table.rows())))
    }

    pub(super) fn limit_versions(&self) -> Response<Body> {
        body::json(200, &limits::versions(&self.cx))
    }

    pub(super) async fn edit_limits(
        &self,
        req: Request<Incoming>,
        caller: &Caller,
        id: &str,
    ) -> GateResult {
        caller.require_operator()?;
        let edit: Edit = self.read_json_body(req).await?;
        let outcome = limits::edit(&self.cx, &caller.name, &edit).await;
        let (code, message, version, pending, conflicts) = match &outcome {
            Outcome::Accepted(t) => {
                (Code::LIMITS_ACCEPTED, String::new(), t.version, &[][..], &[][..])
            }
            Outcome::Stored(t, regions) => {
                let message = format!("stored, pending in: {}", regions.join(", "));
                (Code::LIMITS_STORED, message, t.version, &regions[..], &[][..])
            }
            Outcome::Refused(EditError::Conflict(rows)) => {
                let message = EditError::Conflict(rows.clone()).to_string();
                (Code::CONFLICT, message, self.cx.limits.borrow().version(), &[][..], &rows[..])
            }
            Outcome::Refused(e) => return Err(Failure::new(e.code(), e.to_string())),
            Outcome::StoreDown(why) => return Err(Failure::new(Code::STORE_DOWN, why.clone())),
            Outcome::CommitUnknown => return Err(Failure::from_code(Code::STORE_UNKNOWN)),
        };
        let message = if message.is_empty() { code.entry().meaning.to_owned() } else { message };
        tracing::info!(request_id = id, "limits: edit by {}: {message}", caller.name);
        let answer = Answer::new(code, message, id);
        Ok(body::json(code.status(), &Edited { answer, version, pending, conflicts }))
    }

    /// Returns the audit trail, filtered by the query parameters `day` (days since the Unix epoch), `row` and `by`.
    pub(super) async fn audit(&self, caller: &Caller, uri: &Uri) -> GateResult {
        caller.require_operator()?;
        let param = |name: &str| query::value(uri, name);
        let prefix = match param("day").and_then(|d| d.parse::<u64>().ok()) {
            Some(day) => format!("audit/{day:06}/"),
            None => "audit/".to_owned(),
        };
        let rows = self.cx.store.rows(&prefix).await;
        let rows = rows.map_err(|e| Failure::new(Code::STORE_DOWN, e.to_string()))?;
        let (row, by) = (param("row"), param("by"));
        let wanted = |a: &Audit| {
            let of_row = |name: &String| a.new.iter().any(|c| c.name == *name);
            row.as_ref().is_none_or(of_row) && by.as_ref().is_none_or(|by| a.by == *by)
        };
        let all: Vec<Audit> =
            rows.iter().filter_map(rows::from_json::<Audit>).filter(wanted).collect();
        let skip = all.len().saturating_sub(MAX_AUDIT_ENTRIES);
        Ok(body::json(200, &all[skip..]))
    }
}
