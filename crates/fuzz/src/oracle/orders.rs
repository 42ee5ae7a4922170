//! Model of the order lease and orders.

use hickoryreel_base::error::Kind;
use hickoryreel_state::order::Change;
use hickoryreel_state::order::Controller;
use hickoryreel_state::order::Fence;

use super::Oracle;
use super::Order;

impl Oracle {
    pub(super) fn apply_order_change(
        &mut self,
        at_ms: u64,
        change: &Change,
    ) -> Result<Option<Fence>, Kind> {
        match change {
            Change::Lease { holder, length_ms } => {
                self.take_lease(at_ms, holder, *length_ms).map(Some)
            }
            Change::Release { holder } => {
                if self.lease.as_ref().is_some_and(|lease| lease.0 == *holder) {
                    self.lease = None;
                }
                Ok(None)
            }
            Change::Send { holder, endpoint, body, expires_ms } => {
                let lease = self.lease.as_ref().filter(|lease| lease.0 == *holder);
                if lease.is_none_or(|lease| at_ms >= lease.2) {
                    return Err(Kind::NoLease);
                }
                let content = (endpoint.to_string(), body.clone());
                let existing = self
                    .orders
                    .iter_mut()
                    .find(|order| !order.is_finished && order.content == content);
                if let Some(existing) = existing {
                    existing.expires_ms = existing.expires_ms.max(*expires_ms);
                    return Ok(Some(existing.fence));
                }
                self.fence += 1;
                let (fence, expires_ms) = (self.fence, *expires_ms);
                self.orders.push(Order { fence, content, expires_ms, is_finished: false });
                Ok(Some(fence))
            }
            Change::Answered { fence, .. } | Change::Observed { fence, .. } => {
                let order = self.orders.iter_mut().find(|order| order.fence == *fence);
                order.ok_or(Kind::NotFound)?.is_finished = true;
                Ok(None)
            }
        }
    }

    fn take_lease(
        &mut self,
        at_ms: u64,
        holder: &Controller,
        length_ms: u64,
    ) -> Result<Fence, Kind> {
        let until_ms = at_ms + length_ms;
        match &mut self.lease {
            Some((current_holder, fence, expires_ms)) if current_holder == holder => {
                *expires_ms = until_ms.max(*expires_ms);
                Ok(*fence)
            }
            Some((_, _, expires_ms)) if at_ms <= *expires_ms + self.limits.order_send_ms => {
                Err(Kind::WrongState)
            }
            _ => {
                self.fence += 1;
                self.lease = Some((holder.clone(), self.fence, until_ms));
                Ok(self.fence)
            }
        }
    }

    pub(super) fn prune_orders(&mut self, at_ms: u64) {
        let before_ms = at_ms.saturating_sub(self.limits.record_age_ms);
        for order in &mut self.orders {
            order.is_finished |= order.expires_ms < before_ms;
        }
        let finished = self.orders.iter().filter(|order| order.is_finished).count();
        let mut excess = finished.saturating_sub(self.limits.orders as usize);
        self.orders.retain(|order| {
            let is_dropped = order.is_finished && excess > 0;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
