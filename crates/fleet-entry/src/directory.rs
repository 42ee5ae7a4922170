//! The endpoints that an entry knows, by what the replicas tell.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;

use crate::endpoint::Endpoint;

/// All endpoints.
#[derive(Default)]
pub struct Directory {
    endpoints: HashMap<Name, Rc<Endpoint>>,
    services: HashMap<Name, Vec<Rc<Endpoint>>>,
    /// Incarnations that left for good.
    left: HashMap<Name, u64>,
}

/// What a sighting changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The endpoint is new, or started again.
    New,
    /// It asks for no new work.
    Draining,
    /// It missed announcements.
    Silent,
    /// It left for good.
    Gone,
    /// Something else.
    Other,
}

impl Directory {
    /// Takes in what one replica knows.
    pub fn take_in(&mut self, sighting: EndpointUpdate, replica: SocketAddr) -> Change {
        let EndpointUpdate { announcement, status } = sighting;
        let left = self.left.get(&announcement.id).copied();
        if left.is_some_and(|incarnation| announcement.incarnation <= incarnation) {
            return Change::None;
        }
        let known = self.endpoints.get(&announcement.id);
        let newer =
            known.is_some_and(|one| one.announcement.borrow().order().0 > announcement.incarnation);
        if newer {
            // News of an earlier incarnation says nothing of the present one.
            return Change::None;
        }
        if status == Status::Gone {
            self.left.insert(announcement.id.clone(), announcement.incarnation);
            self.remove(&announcement.id);
            return Change::Gone;
        }
        let hears = status == Status::Present;
        let Some(known) = self.endpoints.get(&announcement.id) else {
            self.add(announcement).note_hearing(replica, hears);
            return Change::New;
        };
        let (old, new) = (known.announcement.borrow().order(), announcement.order());
        let moved = new > old && known.announcement.borrow().address != announcement.address;
        if new.0 > old.0 || moved {
            self.remove(&announcement.id);
            self.add(announcement).note_hearing(replica, hears);
            return Change::New;
        }
        let turned = known.note_hearing(replica, hears);
        let drains = new > old && announcement.draining && !known.announcement.borrow().draining;
        if new > old {
            *known.announcement.borrow_mut() = announcement;
        }
        match (drains, turned, hears) {
            (true, ..) => Change::Draining,
            (false, true, true) => Change::Other,
            (false, true, false) => Change::Silent,
            (false, false, _) => Change::None,
        }
    }

    fn add(&mut self, announcement: Announcement) -> Rc<Endpoint> {
        let (id, service) = (announcement.id.clone(), announcement.service.clone());
        // An address passes to another endpoint only after its holder has ended.
        for other in self.at(announcement.address) {
            if other.announcement.borrow().incarnation < announcement.incarnation {
                other.displace();
            }
        }
        let endpoint = Rc::new(Endpoint::new(announcement));
        self.endpoints.insert(id, Rc::clone(&endpoint));
        self.services.entry(service).or_default().push(Rc::clone(&endpoint));
        endpoint
    }

    /// Endpoints that announced this address.
    pub fn at(&self, address: SocketAddrV4) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.all().filter(move |one| one.announcement.borrow().address == address)
    }

    fn remove(&mut self, id: &str) {
        let Some(endpoint) = self.endpoints.remove(id) else { return };
        endpoint.gone.set(true);
        endpoint.pool.clear();
        if let Some(service) = self.services.get_mut(&endpoint.announcement.borrow().service) {
            service.retain(|one| !Rc::ptr_eq(one, &endpoint));
        }
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.endpoints.values()
    }

    /// Endpoints of a service.
    pub fn of(&self, service: &str) -> &[Rc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
