//! Admission: bounded queues per rank, rank floors, and fairness over workspaces.
//!
//! [`Queue::offer`] queues a request or refuses it at once. [`Queue::next`] returns the request to
//! dispatch now. Costs are predicted slot-seconds at an endpoint. Between ranks, a rank that is
//! owed its floor goes first, then the most urgent. Inside a rank, deficit round robin runs over
//! workspaces; a workspace's weight at this entry is its weight times the part of its demand that
//! arrives here, so that a workspace that uses all entries does not receive a share at each.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

use crate::share::Demand;

/// Largest cost of one request, in slot-seconds.
const MAX_COST_SLOT_SECONDS: f64 = 3_600.0;
/// Least weight of a workspace; a workspace with weight 0 would never be served.
const MIN_WEIGHT: f64 = 1e-3;

/// Settings of the queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most requests in each rank's queue.
    pub capacity: [usize; 3],
    /// Share of capacity guaranteed to each rank.
    pub floors: [f64; 3],
    /// Longest wait in the queue for each rank. The rank's target less the time to the first token.
    pub targets: [Duration; 3],
    /// Slot-seconds per weight and round of the round robin.
    pub quantum: f64,
    /// Most floor credit that a rank saves up, in slot-seconds.
    pub max_credit: f64,
    /// Most debt that a rank served above its floor carries, in slot-seconds. A larger debt would
    /// delay the floor when a flood of more urgent work begins.
    pub max_debt: f64,
    /// Time constant of the measured rates.
    pub rate_window: Duration,
    /// Lowest factor that the digest applies to a workspace's weight. A workspace that was quiet
    /// here until now must still be served before the next digest.
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

/// One request in the queue.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// Rank of the request.
    pub rank: Rank,
    /// Workspace of the request.
    pub workspace: Workspace,
    /// Predicted slot-seconds at an endpoint.
    pub cost: f64,
    /// When it was offered.
    pub offered_at: Duration,
    /// The caller's handle.
    pub payload: T,
}

/// Why a request was refused. Nothing ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The rank's queue is full and the workspace holds its share of it.
    Full,
    /// The predicted wait exceeds the rank's target.
    Wait {
        /// Predicted wait.
        predicted: Duration,
        /// Longest wait for the rank.
        target: Duration,
    },
}

/// Answer to an offer.
#[derive(Debug)]
pub enum Offer<T> {
    /// The request is queued. `displaced` was pushed out by it and has to be refused as not run.
    Queued {
        /// The newest request of the workspace that holds the most of a full queue.
        displaced: Option<Item<T>>,
    },
    /// The request is refused.
    Refused {
        /// Why.
        reason: Refusal,
        /// The request.
        item: Item<T>,
    },
}

/// The request to dispatch now.
#[derive(Clone, Debug)]
pub struct Dispatch<T> {
    /// The request.
    pub item: Item<T>,
    /// Whether the rank's floor, not its order, selected it.
    pub floor: bool,
}

#[derive(Debug)]
struct Flow<T> {
    items: VecDeque<Item<T>>,
    backlog: f64,
    deficit: f64,
    weight: f64,
    /// Part of the workspace's demand in this rank that arrives at this entry.
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

#[derive(Debug)]
struct RankQueue<T> {
    flows: BTreeMap<Workspace, Flow<T>>,
    /// Workspaces with queued requests, in round-robin order.
    active: VecDeque<Workspace>,
    len: usize,
    backlog: f64,
    credit: f64,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), active: VecDeque::new(), len: 0, backlog: 0.0, credit: 0.0 }
    }
}

/// A rate smoothed with an exponential window.
#[derive(Clone, Copy, Debug, Default)]
struct SmoothedRate {
    per_s: f64,
    at: Duration,
}

impl SmoothedRate {
    fn add(&mut self, amount: f64, window: Duration, now: Duration) {
        self.per_s = self.per_s(window, now) + amount / window.as_secs_f64();
        self.at = now;
    }

    fn per_s(&self, window: Duration, now: Duration) -> f64 {
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
    /// Slots this entry can expect, in slot-seconds per second.
    slots: f64,
}

impl<T> Queue<T> {
    /// An empty queue. Workspaces without an entry in `weights` have weight 1.
    pub fn new(settings: Settings, weights: BTreeMap<Workspace, f64>) -> Self {
        Self { settings, rank_queues: Default::default(), weights, slots: f64::INFINITY }
    }

    /// Sets the slots that this entry can expect, used to predict waits.
    pub fn set_slots(&mut self, slots: f64) {
        self.slots = slots.max(f64::EPSILON);
    }

    /// Requests queued in `rank`.
    pub fn len(&self, rank: Rank) -> usize {
        self.rank_queues[rank.index()].len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.rank_queues.iter().all(|rank_queue| rank_queue.len == 0)
    }

    /// This entry's demand for the digest, in slots: arrivals, refused ones included.
    pub fn demand(&self, now: Duration) -> Demand {
        let mut demand = Demand::new();
        for rank in Rank::ALL {
            for (workspace, flow) in &self.rank_queues[rank.index()].flows {
                let demanded = flow.arrivals.per_s(self.settings.rate_window, now);
                if demanded > 1e-6 {
                    demand.insert((rank, workspace.clone()), demanded);
                }
            }
        }
        demand
    }

    /// Takes in the demand `total` of all entries, of which `own` is this entry's part.
    ///
    /// `own` is what this entry published for the same digest. Its present demand would not fit a
    /// late total: at the start of a flood every entry would take itself for the largest.
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

    /// Forgets the digest: this entry counts as the only one, as before the first digest.
    pub fn clear_digest(&mut self) {
        for flow in self.rank_queues.iter_mut().flat_map(|rank_queue| rank_queue.flows.values_mut())
        {
            flow.demand_share = 1.0;
        }
    }

    /// Queues the request or refuses it.
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

    /// Predicted wait of a new request of `workspace` in `rank`.
    ///
    /// The smaller of two bounds: all work of the rank goes first, or the workspace's own work is
    /// served at the workspace's fair share of the rank.
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

    /// Slots that `rank` can expect: what more urgent backlog leaves, and never below its floor.
    fn rank_slots(&self, rank: Rank) -> f64 {
        let index = rank.index();
        let busy = |other: usize| self.rank_queues[other].len > 0;
        let lower: f64 = (index + 1..3).filter(|o| busy(*o)).map(|o| self.settings.floors[o]).sum();
        let higher = (0..index).any(busy);
        let share = if higher { self.settings.floors[index] } else { 1.0 - lower };
        self.slots * share.max(1e-3)
    }

    /// The order in which ranks should be served now. The flag tells whether the floor decided.
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

    /// Removes and returns the request to dispatch now. `fits` says whether some endpoint has a
    /// slot for a request of the rank, served from its floor or not.
    pub fn next(&mut self, fits: &mut dyn FnMut(&Item<T>, bool) -> bool) -> Option<Dispatch<T>> {
        let order: smallvec::SmallVec<[(Rank, bool); 6]> = self.order().collect();
        for (rank, floor) in order {
            let rank_queue = &mut self.rank_queues[rank.index()];
            let Some(workspace) = rank_queue.next_workspace(self.settings.quantum) else {
                continue;
            };
            let fit =
                rank_queue.flows[&workspace].items.front().is_some_and(|item| fits(item, floor));
            if fit && let Some(item) = rank_queue.dequeue(&workspace) {
                self.charge(rank, item.cost);
                return Some(Dispatch { item, floor });
            }
        }
        None
    }

    /// The flow of the workspace, which is created when needed.
    fn flow_mut(&mut self, rank: Rank, workspace: &Workspace) -> &mut Flow<T> {
        let flows = &mut self.rank_queues[rank.index()].flows;
        if !flows.contains_key(workspace) {
            let weight = self.weights.get(workspace).copied().unwrap_or(1.0);
            let weight = if weight.is_finite() { weight.max(MIN_WEIGHT) } else { 1.0 };
            flows.insert(workspace.clone(), Flow::new(weight));
        }
        flows.entry(workspace.clone()).or_insert_with(|| Flow::new(1.0))
    }

    /// Puts back a request that could not be dispatched after all.
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

    /// Removes the requests that waited longer than their rank's target. They did not run.
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

    /// Charges a dispatch: each waiting rank earns its floor, and the served rank pays.
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

    /// The workspace whose turn it is. Moves the round on until one can pay for its first request.
    fn next_workspace(&mut self, quantum: f64) -> Option<Workspace> {
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

    /// Carries out at once the rounds in which nobody can pay. Very unequal weights would otherwise
    /// take millions of rounds.
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

    /// The workspace that holds the most of the queue for its weight.
    fn largest_holder(&self) -> Option<Workspace> {
        let held = |w: &Workspace| self.flows[w].backlog / self.flows[w].local_weight();
        self.active.iter().max_by(|a, b| held(a).total_cmp(&held(b))).cloned()
    }
}
