//! Directory of the endpoints, merged from the updates of all control replicas.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::departure::Departures;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;

use crate::endpoint::Endpoint;

/// Endpoints by id and by service.
#[derive(Default)]
pub struct Directory {
    endpoints: HashMap<Name, Rc<Endpoint>>,
    services: HashMap<Name, Vec<Rc<Endpoint>>>,
    /// Endpoints that drain or have deregistered, whether they are known or not.
    departures: Departures,
    /// Endpoints that a replica heard before it restarted, and has not reported since.
    unreported: HashMap<SocketAddr, HashSet<Name>>,
    /// See [`Endpoint::version_since`], by service and version. Restarts of all endpoints of a version
    /// don't make it a newer one.
    version_starts: HashMap<Name, BTreeMap<Name, (u64, usize)>>,
}

/// Maximum number of versions of a service whose starts are remembered. The latest ones go first.
const MAX_VERSIONS: usize = 64;

/// Change that an update made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    None,
    /// The endpoint is new or has restarted.
    New,
    /// The endpoint accepts no new requests any more.
    Draining,
    /// No replica receives its announcements any more.
    Silent,
    /// The endpoint has deregistered.
    Gone,
    /// A replica receives its announcements again.
    Other,
}

impl Directory {
    /// Applies an update from one replica.
    pub fn apply(&mut self, update: EndpointUpdate, replica: SocketAddr) -> Change {
        let EndpointUpdate { mut announcement, status } = update;
        if let Some(unreported) = self.unreported.get_mut(&replica) {
            unreported.remove(&announcement.id);
        }
        if self.departures.is_gone(&announcement) {
            return Change::None;
        }
        announcement.draining |= self.departures.is_draining(&announcement);
        if let Some(known) = self.endpoints.get(&announcement.id)
            && known.announcement.borrow().incarnation > announcement.incarnation
        {
            // An update of an earlier incarnation does not apply to the current one, unless only
            // the earlier one is heard.
            if status == Status::Present {
                known.set_heard_by(replica, false);
            }
            if status != Status::Present || !known.is_silent() {
                return Change::None;
            }
            self.remove(&announcement.id);
        }
        if status == Status::Gone {
            let Announcement { id, incarnation, .. } = announcement;
            return self.depart(&Departure { id, incarnation, kind: departure::Kind::Gone });
        }
        let hears = status == Status::Present;
        let Some(known) = self.endpoints.get(&announcement.id) else {
            self.add(Endpoint::new(announcement)).set_heard_by(replica, hears);
            return Change::New;
        };
        let (old, new) = (known.announcement.borrow().order(), announcement.order());
        // The sequence number in use is wrong if only announcements with lower ones are heard.
        let outlived = new < old && hears && known.is_silent();
        let applies = new > old || outlived;
        announcement.draining |= outlived && known.announcement.borrow().draining;
        let moved = {
            let known = known.announcement.borrow();
            known.address != announcement.address || known.service != announcement.service
        };
        if new.0 > old.0 || (applies && moved) {
            let endpoint = match new.0 > old.0 {
                true => Endpoint::new(announcement),
                false => known.moved(announcement),
            };
            self.remove(&endpoint.id());
            self.add(endpoint).set_heard_by(replica, hears);
            return Change::New;
        }
        let silence_changed = known.set_heard_by(replica, hears);
        let drains = applies && announcement.draining && !known.announcement.borrow().draining;
        if applies {
            known.update(announcement);
            let known = Rc::clone(known);
            self.record_version(&known);
        }
        match (drains, silence_changed, hears) {
            (true, ..) => Change::Draining,
            (false, true, true) => Change::Other,
            (false, true, false) => Change::Silent,
            (false, false, _) => Change::None,
        }
    }

    /// Records that a replica has restarted and forgotten which endpoints it hears.
    pub fn record_restart(&mut self, replica: SocketAddr) {
        let heard = self.all().filter(|endpoint| endpoint.is_heard_by(replica));
        let heard = heard.map(|endpoint| endpoint.id()).collect();
        self.unreported.insert(replica, heard);
    }

    /// Ends what a replica said before its restart, after the time in which it hears all endpoints
    /// anew. Returns the endpoints that no replica hears any more.
    pub fn forget_unreported(&mut self, replica: SocketAddr) -> Vec<Name> {
        let mut unreported = self.unreported.remove(&replica).unwrap_or_default();
        unreported.retain(|id| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(|endpoint| endpoint.set_heard_by(replica, false))
        });
        unreported.into_iter().collect()
    }

    /// Applies the departure of an endpoint, which a replica may know though it does not know the
    /// endpoint.
    pub fn depart(&mut self, departure: &Departure) -> Change {
        let number = self.departures.last_number() + 1;
        if !self.departures.record(departure, number) {
            return Change::None;
        }
        let Some(known) = self.endpoints.get(&departure.id) else { return Change::None };
        if known.announcement.borrow().incarnation > departure.incarnation {
            return Change::None;
        }
        if departure.kind == departure::Kind::Gone {
            self.remove(&departure.id);
            return Change::Gone;
        }
        let mut announcement = known.announcement.borrow_mut();
        if announcement.draining || !self.departures.is_draining(&announcement) {
            return Change::None;
        }
        announcement.draining = true;
        Change::Draining
    }

    fn add(&mut self, endpoint: Endpoint) -> Rc<Endpoint> {
        let announcement = endpoint.announcement.borrow().clone();
        let (id, service) = (announcement.id.clone(), announcement.service.clone());
        // A later endpoint gets an address only after the earlier one at that address has ended.
        for other in self.at_address(announcement.address) {
            if other.announcement.borrow().incarnation < announcement.incarnation {
                other.mark_displaced();
            }
        }
        let endpoint = Rc::new(endpoint);
        self.record_version(&endpoint);
        self.endpoints.insert(id, Rc::clone(&endpoint));
        self.services.entry(service).or_default().push(Rc::clone(&endpoint));
        endpoint
    }

    /// Updates the earliest start of the endpoint's version.
    fn record_version(&mut self, endpoint: &Endpoint) {
        let (service, version, start) = {
            let announcement = endpoint.announcement.borrow();
            let Announcement { service, version, incarnation, .. } = &*announcement;
            (service.clone(), version.clone(), *incarnation)
        };
        let starts = self.version_starts.entry(service.clone()).or_default();
        let (earliest, earlier_versions) =
            starts.get(&version).copied().unwrap_or((start, starts.len()));
        let since = (start.min(earliest), earlier_versions);
        starts.insert(version.clone(), since);
        if starts.len() > MAX_VERSIONS
            && let Some(latest) = starts.iter().max_by_key(|(_, since)| **since)
        {
            let latest = latest.0.clone();
            starts.remove(&latest);
        }
        endpoint.version_since.set(since);
        for other in self.for_service(&service) {
            if other.version() == version {
                other.version_since.set(since);
            }
        }
    }

    /// Endpoints that announced this address.
    pub fn at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.all().filter(move |endpoint| endpoint.announcement.borrow().address == address)
    }

    fn remove(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.remove(id) else { return };
        endpoint.gone.set(true);
        endpoint.pool.clear();
        if let Some(service) = self.services.get_mut(&endpoint.announcement.borrow().service) {
            service.retain(|other| !Rc::ptr_eq(other, &endpoint));
        }
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    pub fn for_service(&self, service: &str) -> &[Rc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
