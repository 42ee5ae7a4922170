//! Availability zones in which a request may be served.
//!
//! Two things rule out an endpoint whatever else speaks for it: its region is not among those that the
//! route and the workspace allow, or its zone is evacuated. [`Zones::permit`] is the only source of
//! [`Permitted`] endpoints, of which every choice is made, and the rules are checked again right before
//! each write, because they may have changed meanwhile. If nothing is permitted, the request is refused;
//! no other region takes it.

use std::ops::Deref;
use std::rc::Rc;

use derive_more::Display;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::explanation::Reason;
use smallvec::SmallVec;

use crate::endpoint::Endpoint;
use crate::settings::Settings;

/// Reason why an endpoint may not serve a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exclusion {
    /// The route or the workspace does not allow its region.
    #[display("its region is not allowed")]
    Region,
    #[display("its availability zone is evacuated")]
    Evacuated,
}

impl From<Exclusion> for Reason {
    fn from(exclusion: Exclusion) -> Self {
        match exclusion {
            Exclusion::Region => Self::Region,
            Exclusion::Evacuated => Self::Evacuated,
        }
    }
}

/// Rules for one request.
#[derive(Clone, Copy, Debug)]
pub struct Zones<'a> {
    settings: &'a Settings,
    /// Regions that the route allows; empty for all.
    route: &'a [Name],
    /// Regions that the workspace allows; empty for all.
    workspace: &'a [Name],
    /// The same for the route and the workspace of a later configuration.
    later: [&'a [Name]; 2],
    /// Evacuated availability zones.
    evacuated: &'a [Name],
}

fn workspace_regions(workspace: Option<&Workspace>) -> &[Name] {
    workspace.map_or(&[], |workspace| &workspace.allowed_regions)
}

impl<'a> Zones<'a> {
    /// Creates the rules for requests of a route and a workspace.
    pub fn new(
        settings: &'a Settings,
        route: &'a Route,
        workspace: Option<&'a Workspace>,
        evacuated: &'a [Name],
    ) -> Self {
        let workspace = workspace_regions(workspace);
        Self { settings, route: &route.allowed_regions, workspace, later: [&[], &[]], evacuated }
    }

    /// Adds the rules of a later configuration, which bind a request that was accepted before.
    pub fn restricted_by(self, route: &'a Route, workspace: Option<&'a Workspace>) -> Self {
        Self { later: [&route.allowed_regions, workspace_regions(workspace)], ..self }
    }

    /// Returns why endpoints of an availability zone may not serve the request, or `None` if they
    /// may. A zone of an unknown region is in none of the allowed regions.
    pub fn exclusion(&self, zone: &str) -> Option<Exclusion> {
        let region = self.settings.known_region(zone);
        let allows = |regions: &[Name]| {
            regions.is_empty()
                || region.is_some_and(|region| regions.iter().any(|name| &**name == region))
        };
        let [later_route, later_workspace] = self.later;
        let regions = [self.route, self.workspace, later_route, later_workspace];
        if !regions.into_iter().all(allows) {
            Some(Exclusion::Region)
        } else if self.evacuated.iter().any(|evacuated| &**evacuated == zone) {
            Some(Exclusion::Evacuated)
        } else {
            None
        }
    }

    /// Returns why an endpoint may not serve the request, or `None` if it may.
    pub fn exclusion_of(&self, endpoint: &Endpoint) -> Option<Exclusion> {
        self.exclusion(&endpoint.announcement.borrow().zone)
    }

    /// Selects the endpoints that may serve the request.
    pub fn permit(&self, endpoints: &[Rc<Endpoint>]) -> Permitted {
        let permitted = endpoints.iter().filter(|endpoint| self.exclusion_of(endpoint).is_none());
        Permitted(permitted.cloned().collect())
    }
}

/// Endpoints in zones that may serve a request.
#[derive(Clone)]
pub struct Permitted(SmallVec<[Rc<Endpoint>; 16]>);

impl Permitted {
    /// Keeps the endpoints for which a condition holds.
    pub fn retain(&mut self, condition: impl Fn(&Endpoint) -> bool) {
        self.0.retain(|endpoint| condition(endpoint));
    }
}

impl Deref for Permitted {
    type Target = [Rc<Endpoint>];

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}
