//! Admission and scheduling: bounded queues per rank, rank floors and fairness among workspaces.
//!
//! [`Queue::offer`] queues a request or refuses it immediately. [`Queue::next`] returns the next
//! request to dispatch. The cost of a request is its predicted slot-seconds at an endpoint. Ranks
//! with unused floor credit are served first, then all ranks in order of urgency. Within a rank,
//! workspaces are served by weighted deficit round robin. A workspace's weight at this entry is its
//! weight times the share of its demand that arrives here, so that a workspace that uses all
//! entries does not receive a full share at each of them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

use crate::share::Demand;

/// Upper bound of the cost of one request.
const MAX_COST_SLOT_SECONDS: f64 = 3_600.0;
/// Lower bound of a workspace's weight. A workspace with weight 0 would never be served.
const MIN_WEIGHT: f64 = 1e-3;

/// Settings of the queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum requests in each rank's queue.
    pub capacity: [usize; 3],
    /// Share of the capacity that is guaranteed to each rank.
    pub floors: [f64; 3],
    /// Longest wait in the queue for each rank: the rank's target for time to first token less the
    /// expected time to first token at the endpoint.
    pub targets: [Duration; 3],
    /// Slot-seconds that the active workspace with the largest weight earns per round of the
    /// deficit round robin; others earn in proportion to their weight.
    pub quantum: f64,
    /// Maximum floor credit of a rank, in slot-seconds.
    pub max_credit: f64,
    /// Maximum debt of a rank that was served above its floor, in slot-seconds. A larger debt would
    /// delay the rank's floor at the start of a flood of more urgent requests.
    pub max_debt: f64,
    /// Time constant of the smoothed arrival rates.
    pub rate_window: Duration,
    /// Lower bound of the demand share by which the digest scales a workspace's weight. A workspace
    /// that had no demand here until now must be served before the next digest.
    pub min_demand_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: [2_048, 2_048, 8_192],
            floors: [0.5, 0.2, 0.05],
            targets: [
                Duration::from_millis(130),
                Duration::from_millis(1_500),
                Duration::from_secs(25),
            ],
            quantum: 2.0,
            max_credit: 20.0,
            max_debt: 4.0,
            rate_window: Duration::from_secs(2),
            min_demand_share: 0.02,
        }
    }
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Item<T> {
    pub rank: Rank,
    pub workspace: Workspace,
    /// Predicted slot-seconds at an endpoint. [`Queue::offer`] limits it to a finite range.
    pub cost: f64,
    /// Time of arrival, from which the wait is measured.
    pub offered_at: Duration,
    /// Opaque data of the caller.
    pub payload: T,
}

/// Why a request was refused without being dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The rank's queue is full, and no workspace has a larger backlog for its weight than this
    /// one.
    Full,
    /// The predicted wait exceeds the rank's target.
    Wait {
        predicted: Duration,
        /// Longest wait in the queue for the rank.
        target: Duration,
    },
}

/// Result of [`Queue::offer`].
#[derive(Debug)]
pub enum Offer<T> {
    /// The request is queued. If it displaced another request, the caller must refuse that one as
    /// not run.
    Queued {
        /// The newest request of the workspace with the largest backlog for its weight, if the
        /// queue was full.
        displaced: Option<Item<T>>,
    },
    Refused {
        reason: Refusal,
        item: Item<T>,
    },
}

/// A request that was removed from the queue for dispatch.
#[derive(Clone, Debug)]
pub struct Dispatch<T> {
    pub item: Item<T>,
    /// Whether the rank's floor, not the order of ranks, selected the request.
    pub floor: bool,
}

/// Queued requests and round-robin state of one workspace in one rank.
#[derive(Debug)]
struct Flow<T> {
    items: VecDeque<Item<T>>,
    backlog: f64,
    deficit: f64,
    weight: f64,
    /// Share of the workspace's demand in this rank that arrives at this entry, 0 to 1.
    demand_share: f64,
    arrivals: SmoothedRate,
}

impl<T> Flow<T> {
    fn new(weight: f64) -> Self {
        let arrivals = SmoothedRate::default();
        Self {
            items: VecDeque::new(),
            backlog: 0.0,
            deficit: 0.0,
            weight,
            demand_share: 1.0,
            arrivals,
        }
    }

    fn first_cost(&self) -> f64 {
        self.items.front().map_or(0.0, |item| item.cost)
    }

    fn local_weight(&self) -> f64 {
        self.weight * self.demand_share
    }
}

/// Queue of one rank.
#[derive(Debug)]
struct RankQueue<T> {
    flows: BTreeMap<Workspace, Flow<T>>,
    /// Workspaces with queued requests, in round-robin order.
    active: VecDeque<Workspace>,
    len: usize,
    backlog: f64,
    /// Floor credit in slot-seconds; negative if the rank was served above its floor.
    credit: f64,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), active: VecDeque::new(), len: 0, backlog: 0.0, credit: 0.0 }
    }
}

/// An exponentially smoothed rate.
#[derive(Clone, Copy, Debug, Default)]
struct SmoothedRate {
    per_s: f64,
    at: Duration,
}

impl SmoothedRate {
    fn add(&mut self, amount: f64, window: Duration, now: Duration) {
        self.per_s = self.per_s_at(window, now) + amount / window.as_secs_f64();
        self.at = now;
    }

    fn per_s_at(&self, window: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-age / window.as_secs_f64()).exp()
    }
}

/// The admission queue of one entry.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    rank_queues: [RankQueue<T>; 3],
    weights: BTreeMap<Workspace, f64>,
    /// Slots that this entry can expect to use at all endpoints together.
    slots: f64,
}

impl<T> Queue<T> {
    /// Creates an empty queue. Workspaces that are absent from `weights` have weight 1.
    pub fn new(settings: Settings, weights: BTreeMap<Workspace, f64>) -> Self {
        Self { settings, rank_queues: Default::default(), weights, slots: f64::INFINITY }
    }

    /// Sets the slots that this entry can expect. They are used to predict waits.
    pub fn set_slots(&mut self, slots: f64) {
        self.slots = slots.max(f64::EPSILON);
    }

    pub fn len(&self, rank: Rank) -> usize {
        self.rank_queues[rank.index()].len
    }

    pub fn is_empty(&self) -> bool {
        self.rank_queues.iter().all(|rank_queue| rank_queue.len == 0)
    }

    /// This entry's demand for the digest, in slots: the rate of arrivals, including refused ones.
    pub fn demand(&self, now: Duration) -> Demand {
        let mut demand = Demand::new();
        for rank in Rank::ALL {
            for (workspace, flow) in &self.rank_queues[rank.index()].flows {
                let demanded = flow.arrivals.per_s_at(self.settings.rate_window, now);
                if demanded > 1e-6 {
                    demand.insert((rank, workspace.clone()), demanded);
                }
            }
        }
        demand
    }

    /// Applies a digest: the demand `total` of all entries, of which `own` is this entry's part.
    ///
    /// `own` must be the demand that this entry published for the same digest. Its present demand
    /// does not match a delayed total: at the start of a flood every entry would compute too large
    /// a share for itself.
    pub fn on_digest(&mut self, own: &Demand, total: &Demand) {
        for rank in Rank::ALL {
            for (workspace, flow) in &mut self.rank_queues[rank.index()].flows {
                let key = (rank, workspace.clone());
                let share = own.get(&key).zip(total.get(&key));
                let share = share.map_or(0.0, |(own, all)| own / all.max(f64::EPSILON));
                flow.demand_share = share.clamp(self.settings.min_demand_share, 1.0);
            }
        }
    }

    /// Discards the digest: this entry counts as the only one, as before the first digest.
    pub fn clear_digest(&mut self) {
        for flow in self.rank_queues.iter_mut().flat_map(|rank_queue| rank_queue.flows.values_mut())
        {
            flow.demand_share = 1.0;
        }
    }

    /// Queues the request, or refuses it if its predicted wait is too long or the queue is full.
    pub fn offer(&mut self, mut item: Item<T>, now: Duration) -> Offer<T> {
        let rank = item.rank.index();
        let window = self.settings.rate_window;
        item.cost = if item.cost.is_finite() {
            item.cost.clamp(0.0, MAX_COST_SLOT_SECONDS)
        } else {
            MAX_COST_SLOT_SECONDS
        };
        self.flow_mut(item.rank, &item.workspace).arrivals.add(item.cost, window, now);
        let predicted = self.predicted_wait(item.rank, &item.workspace);
        let target = self.settings.targets[rank];
        if predicted > target {
            return Offer::Refused { reason: Refusal::Wait { predicted, target }, item };
        }
        let mut displaced = None;
        if self.rank_queues[rank].len >= self.settings.capacity[rank] {
            let Some(largest) = self.rank_queues[rank].largest_holder() else {
                return Offer::Refused { reason: Refusal::Full, item };
            };
            if largest == item.workspace {
                return Offer::Refused { reason: Refusal::Full, item };
            }
            displaced = self.rank_queues[rank].pop_newest(&largest);
        }
        self.rank_queues[rank].push(item);
        Offer::Queued { displaced }
    }

    /// Predicts the wait of a new request of `workspace` in `rank`.
    ///
    /// It is the smaller of two upper bounds: the time to serve the whole backlog of the rank, and
    /// the time to serve the workspace's own backlog at its fair share of the rank.
    pub fn predicted_wait(&self, rank: Rank, workspace: &Workspace) -> Duration {
        let rank_queue = &self.rank_queues[rank.index()];
        let rate = self.rank_slots(rank);
        let rank_wait = rank_queue.backlog / rate;
        let own_wait = rank_queue.flows.get(workspace).map_or(0.0, |flow| {
            let weight = flow.local_weight();
            let others = rank_queue.active.iter().filter(|other| *other != workspace);
            let others_weight: f64 =
                others.map(|other| rank_queue.flows[other].local_weight()).sum();
            flow.backlog * (weight + others_weight) / (weight * rate)
        });
        Duration::try_from_secs_f64(rank_wait.min(own_wait)).unwrap_or(Duration::MAX)
    }

    /// Slots that `rank` can expect: its floor while more urgent requests are queued, otherwise all
    /// slots less the floors of the busy less urgent ranks.
    fn rank_slots(&self, rank: Rank) -> f64 {
        let index = rank.index();
        let busy = |other: usize| self.rank_queues[other].len > 0;
        let lower_floors: f64 = (index + 1..3)
            .filter(|other| busy(*other))
            .map(|other| self.settings.floors[other])
            .sum();
        let higher_busy = (0..index).any(busy);
        let share = if higher_busy { self.settings.floors[index] } else { 1.0 - lower_floors };
        self.slots * share.max(1e-3)
    }

    /// The order in which ranks should be served now. The flag is true where a rank is served
    /// because of its floor credit; such a rank appears again in the order of urgency.
    pub fn order(&self) -> impl Iterator<Item = (Rank, bool)> + use<T> {
        let floor_due = Rank::ALL.map(|rank| {
            let rank_queue = &self.rank_queues[rank.index()];
            rank != Rank::Urgent && rank_queue.len > 0 && rank_queue.credit > 0.0
        });
        let waiting = Rank::ALL.map(|rank| self.rank_queues[rank.index()].len > 0);
        let floors = Rank::ALL.into_iter().filter(move |rank| floor_due[rank.index()]);
        let rest = Rank::ALL.into_iter().filter(move |rank| waiting[rank.index()]);
        floors.map(|rank| (rank, true)).chain(rest.map(|rank| (rank, false)))
    }

    /// Removes and returns the next request to dispatch. `fits` states whether some endpoint has a
    /// free slot for the request; its flag is true if the request would be served from the floor.
    pub fn next(&mut self, fits: &mut dyn FnMut(&Item<T>, bool) -> bool) -> Option<Dispatch<T>> {
        let order: smallvec::SmallVec<[(Rank, bool); 6]> = self.order().collect();
        for (rank, floor) in order {
            let rank_queue = &mut self.rank_queues[rank.index()];
            let Some(workspace) = rank_queue.advance(self.settings.quantum) else { continue };
            let fit =
                rank_queue.flows[&workspace].items.front().is_some_and(|item| fits(item, floor));
            if fit && let Some(item) = rank_queue.dequeue(&workspace) {
                self.charge(rank, item.cost);
                return Some(Dispatch { item, floor });
            }
        }
        None
    }

    /// Returns the flow of the workspace and creates it if it does not exist.
    fn flow_mut(&mut self, rank: Rank, workspace: &Workspace) -> &mut Flow<T> {
        let flows = &mut self.rank_queues[rank.index()].flows;
        if !flows.contains_key(workspace) {
            let weight = self.weights.get(workspace).copied().unwrap_or(1.0);
            let weight = if weight.is_finite() { weight.max(MIN_WEIGHT) } else { 1.0 };
            flows.insert(workspace.clone(), Flow::new(weight));
        }
        flows.entry(workspace.clone()).or_insert_with(|| Flow::new(1.0))
    }

    /// Returns a request that could not be dispatched to the front of its workspace's queue.
    pub fn requeue(&mut self, item: Item<T>) {
        self.flow_mut(item.rank, &item.workspace);
        let rank_queue = &mut self.rank_queues[item.rank.index()];
        if let Some(flow) = rank_queue.flows.get_mut(&item.workspace) {
            flow.deficit += item.cost;
            flow.backlog += item.cost;
            rank_queue.backlog += item.cost;
            rank_queue.len += 1;
            if !rank_queue.active.contains(&item.workspace) {
                rank_queue.active.push_front(item.workspace.clone());
            }
            flow.items.push_front(item);
        }
    }

    /// Removes and returns the requests that waited longer than their rank's target.
    pub fn expire(&mut self, now: Duration) -> Vec<Item<T>> {
        let mut expired = Vec::new();
        for rank in Rank::ALL {
            let target = self.settings.targets[rank.index()];
            let rank_queue = &mut self.rank_queues[rank.index()];
            let workspaces: Vec<Workspace> = rank_queue.active.iter().cloned().collect();
            for workspace in workspaces {
                while rank_queue.flows[&workspace]
                    .items
                    .front()
                    .is_some_and(|item| now.saturating_sub(item.offered_at) > target)
                {
                    expired.extend(rank_queue.remove(&workspace, true));
                }
            }
        }
        expired
    }

    /// Accounts for a dispatch: each waiting rank earns its floor of the cost as credit, and the
    /// served rank pays the cost.
    fn charge(&mut self, served: Rank, cost: f64) {
        let Settings { floors, max_credit, max_debt, .. } = self.settings;
        for rank in Rank::ALL {
            let rank_queue = &mut self.rank_queues[rank.index()];
            if rank_queue.len > 0 || rank == served {
                rank_queue.credit =
                    (rank_queue.credit + floors[rank.index()] * cost).min(max_credit);
            }
            if rank == served {
                rank_queue.credit = (rank_queue.credit - cost).max(-max_debt);
            }
        }
    }
}

impl<T> RankQueue<T> {
    fn push(&mut self, item: Item<T>) {
        let Some(flow) = self.flows.get_mut(&item.workspace) else { return };
        if flow.items.is_empty() {
            flow.deficit = 0.0;
            self.active.push_back(item.workspace.clone());
        }
        flow.backlog += item.cost;
        self.backlog += item.cost;
        self.len += 1;
        flow.items.push_back(item);
    }

    /// Advances the deficit round robin until a workspace can pay for its first request, and
    /// returns that workspace.
    fn advance(&mut self, quantum: f64) -> Option<Workspace> {
        let weights = self.active.iter().map(|workspace| self.flows[workspace].local_weight());
        let scale = quantum / weights.fold(f64::EPSILON, f64::max);
        loop {
            for _ in 0..self.active.len() {
                let workspace = self.active.front()?;
                let flow = self.flows.get_mut(workspace)?;
                if flow.deficit >= flow.first_cost() {
                    return Some(workspace.clone());
                }
                flow.deficit += scale * flow.local_weight();
                self.active.rotate_left(1);
            }
            if self.active.is_empty() {
                return None;
            }
            self.skip_rounds(scale);
        }
    }

    /// Applies in one step all rounds in which no workspace can pay for its first request. With
    /// very unequal weights, iterating over them could take millions of rounds.
    fn skip_rounds(&mut self, scale: f64) {
        let rounds_needed = |flow: &Flow<T>| {
            (flow.first_cost() - flow.deficit) / (scale * flow.local_weight()) - 1.0
        };
        let rounds = self.active.iter().map(|workspace| rounds_needed(&self.flows[workspace]));
        let rounds = rounds.fold(f64::INFINITY, f64::min).floor().max(0.0);
        for workspace in &self.active {
            if let Some(flow) = self.flows.get_mut(workspace) {
                flow.deficit += rounds * scale * flow.local_weight();
            }
        }
    }

    fn dequeue(&mut self, workspace: &Workspace) -> Option<Item<T>> {
        let item = self.remove(workspace, true)?;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.deficit -= item.cost;
        }
        Some(item)
    }

    fn pop_newest(&mut self, workspace: &Workspace) -> Option<Item<T>> {
        self.remove(workspace, false)
    }

    fn remove(&mut self, workspace: &Workspace, from_front: bool) -> Option<Item<T>> {
        let flow = self.flows.get_mut(workspace)?;
        let item = if from_front { flow.items.pop_front() } else { flow.items.pop_back() }?;
        flow.backlog = (flow.backlog - item.cost).max(0.0);
        self.backlog = (self.backlog - item.cost).max(0.0);
        self.len -= 1;
        if flow.items.is_empty() {
            flow.backlog = 0.0;
            self.active.retain(|other| other != workspace);
        }
        Some(item)
    }

    /// The workspace with the largest backlog for its weight.
    fn largest_holder(&self) -> Option<Workspace> {
        let held = |workspace: &Workspace| {
            self.flows[workspace].backlog / self.flows[workspace].local_weight()
        };
        self.active.iter().max_by(|a, b| held(a).total_cmp(&held(b))).cloned()
    }
}
