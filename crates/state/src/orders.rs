//! Grants the order lease, assigns fencing tokens and tracks orders until they finish.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use serde::Deserialize;
use serde::Serialize;

use crate::limits::Limits;
use crate::order::Accepted;
use crate::order::Change;
use crate::order::Controller;
use crate::order::End;
use crate::order::Fence;
use crate::order::Lease;
use crate::order::Order;
use crate::order::Progress;

/// Longest order lease, in milliseconds. A crashed holder blocks orders for at most this long plus
/// the longest send delay.
const MAX_LEASE_MS: u64 = 60_000;

/// The newest fencing token, the order lease and the recorded orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Orders {
    newest_fence: Fence,
    lease: Option<Lease>,
    orders: BTreeMap<Fence, Order>,
    unfinished: BTreeSet<Fence>,
}

impl Orders {
    pub(crate) fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    pub(crate) fn orders(&self) -> &BTreeMap<Fence, Order> {
        &self.orders
    }

    pub(crate) fn take_fence(&mut self) -> Fence {
        self.newest_fence += 1;
        self.newest_fence
    }

    /// Applies a change. `max_send_delay_ms` is [`Limits::order_send_ms`].
    pub(crate) fn apply_change(
        &mut self,
        at_ms: u64,
        max_send_delay_ms: u64,
        change: &Change,
    ) -> error::Result<Accepted> {
        match change {
            Change::Lease { holder, length_ms } => {
                self.take_lease(at_ms, max_send_delay_ms, holder, *length_ms).map(Accepted::Lease)
            }
            Change::Release { holder } => {
                self.lease.take_if(|lease| lease.holder == *holder);
                Ok(Accepted::Recorded)
            }
            Change::Send { holder, endpoint, body, expires_ms } => {
                self.check_lease(at_ms, holder)?;
                Ok(Accepted::Order(self.record_order(holder, endpoint, body, *expires_ms)))
            }
            Change::Answered { fence, result } => self.finish(*fence, Progress::Answered(*result)),
            Change::Observed { fence, result } => self.finish(*fence, Progress::Observed(*result)),
        }
    }

    /// Renews the lease of its holder, or grants it to another controller. The latter has to wait
    /// for the longest send delay after the lease expired: the old holder may still be sending an
    /// order that it recorded in time, and an engine may ignore fencing tokens.
    fn take_lease(
        &mut self,
        at_ms: u64,
        max_send_delay_ms: u64,
        holder: &Controller,
        length_ms: u64,
    ) -> error::Result<Lease> {
        if length_ms > MAX_LEASE_MS {
            let message =
                format!("lease length is {length_ms} ms, expected at most {MAX_LEASE_MS} ms");
            return Err(Error::new(Kind::MalformedRequest, message));
        }
        let expires_ms = at_ms.saturating_add(length_ms);
        if let Some(lease) = &mut self.lease {
            if lease.holder == *holder {
                lease.expires_ms = lease.expires_ms.max(expires_ms);
                return Ok(lease.clone());
            }
            let available_ms = lease.expires_ms.saturating_add(max_send_delay_ms);
            if at_ms <= available_ms {
                let message =
                    format!("{} holds the order lease until {available_ms} ms", lease.holder);
                return Err(Error::new(Kind::WrongState, message));
            }
        }
        let lease = Lease { holder: holder.clone(), fence: self.take_fence(), expires_ms };
        self.lease = Some(lease.clone());
        Ok(lease)
    }

    fn check_lease(&self, at_ms: u64, holder: &Controller) -> error::Result<()> {
        let lease = self.lease.as_ref().filter(|lease| lease.holder == *holder);
        if lease.is_none_or(|lease| at_ms >= lease.expires_ms) {
            let message = format!("{holder} doesn't hold the order lease");
            return Err(Error::new(Kind::NoLease, message));
        }
        Ok(())
    }

    fn record_order(
        &mut self,
        holder: &Controller,
        endpoint: &Endpoint,
        body: &Arc<str>,
        expires_ms: u64,
    ) -> Fence {
        let resent = self.unfinished.iter().copied().find(|fence| {
            let order = self.orders.get(fence);
            order.is_some_and(|order| order.endpoint == *endpoint && order.body == *body)
        });
        let fence = resent.unwrap_or_else(|| self.take_fence());
        let previous_expiry_ms = self.orders.get(&fence).map_or(0, |order| order.expires_ms);
        let order = Order {
            holder: holder.clone(),
            endpoint: endpoint.clone(),
            body: Arc::clone(body),
            expires_ms: expires_ms.max(previous_expiry_ms),
            progress: Progress::Sent,
        };
        self.orders.insert(fence, order);
        self.unfinished.insert(fence);
        fence
    }

    /// Records the result of an order. Later results for the same order are ignored.
    fn finish(&mut self, fence: Fence, progress: Progress) -> error::Result<Accepted> {
        let Some(order) = self.orders.get_mut(&fence) else {
            let message = format!("there is no order {fence}");
            return Err(Error::new(Kind::NotFound, message));
        };
        if order.progress == Progress::Sent {
            order.progress = progress;
            self.unfinished.remove(&fence);
        }
        Ok(Accepted::Recorded)
    }

    /// Drops finished orders beyond the limit, oldest first. An order whose result is still unknown
    /// [`Limits::record_age_ms`] after its expiry ends as [`End::Gone`].
    pub(crate) fn prune(&mut self, limits: &Limits, at_ms: u64) {
        let before_ms = at_ms.saturating_sub(limits.record_age_ms);
        let orders = &mut self.orders;
        self.unfinished.retain(|fence| {
            let Some(order) = orders.get_mut(fence) else { return false };
            if order.expires_ms < before_ms {
                order.progress = Progress::Observed(End::Gone);
            }
            order.progress == Progress::Sent
        });
        let excess = (orders.len() - self.unfinished.len()).saturating_sub(limits.orders as usize);
        let finished = orders.iter().filter(|(_, order)| order.progress != Progress::Sent);
        let oldest: Vec<Fence> = finished.map(|(fence, _)| *fence).take(excess).collect();
        for fence in oldest {
            orders.remove(&fence);
        }
    }
}
