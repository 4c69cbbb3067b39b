//! The configuration that operators change: teams, keys, routes, models, trainers, zones and price
//! classes.

mod change;
mod fault;
mod key;
mod model;
mod replies;
mod route;
mod tables;
mod team;
mod trainer;
pub mod validation;
mod view;
mod zone;

pub use self::{
    change::{Change, Edit, Reply},
    fault::{Fault, Part, Subject},
    key::{Key, Secret},
    model::Model,
    replies::MAX_REPLIES,
    route::{Kind, Route},
    tables::Tables,
    team::Team,
    trainer::Trainer,
    view::{KeyView, View},
    zone::{PriceClass, Zone},
};

use self::replies::Replies;
use catkinlatch_base::{
    KeyId, ModelId, PriceClassId, RequestId, Revision, RouteId, TeamId, TrainerId, ZoneId,
    derive_value,
};
use std::collections::BTreeMap;

derive_value! {
    /// The current configuration and the replies to recent changes.
    #[derive(Default)]
    pub struct Config {
        revision: Revision,
        winner: Option<RequestId>,
        tables: Tables,
        replies: Replies,
    }
}

impl Config {
    /// Returns the revision of the last accepted change; zero if there is none.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the tables of the configuration.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the team with the given id.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        self.tables.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &BTreeMap<TeamId, Team> {
        &self.tables.teams
    }

    /// Returns all keys except withdrawn ones.
    pub fn keys(&self) -> &BTreeMap<KeyId, Key> {
        &self.tables.keys
    }

    /// Returns all routes.
    pub fn routes(&self) -> &BTreeMap<RouteId, Route> {
        &self.tables.routes
    }

    /// Returns all models.
    pub fn models(&self) -> &BTreeMap<ModelId, Model> {
        &self.tables.models
    }

    /// Returns all trainers.
    pub fn trainers(&self) -> &BTreeMap<TrainerId, Trainer> {
        &self.tables.trainers
    }

    /// Returns all availability zones; if there are none, targets may run anywhere.
    pub fn zones(&self) -> &BTreeMap<ZoneId, Zone> {
        &self.tables.zones
    }

    /// Returns all price classes.
    pub fn price_classes(&self) -> &BTreeMap<PriceClassId, PriceClass> {
        &self.tables.price_classes
    }

    /// Returns the key id and team of a presented key, or `None` if the key is malformed, unknown
    /// or withdrawn.
    pub fn authenticate(&self, presented: &str) -> Option<(&KeyId, &TeamId)> {
        let secret = Secret::parse(presented)?;
        let (id, key) = self.tables.keys.get_key_value(secret.id())?;
        key.matches(&secret).then_some((id, &key.team))
    }

    /// Applies all edits of a change or none of them.
    ///
    /// A resend of one of the last [`MAX_REPLIES`] changes, with the same request id and content,
    /// returns the first reply again regardless of later changes.
    pub fn apply(&mut self, change: &Change, revision: Revision) -> Reply {
        if let Some(reply) = self.replies.get(change) {
            return reply;
        }
        let reply = self.decide(change, revision);
        self.replies.record(change, reply.clone());
        reply
    }

    fn decide(&mut self, change: &Change, revision: Revision) -> Reply {
        if change.base.is_some_and(|base| base != self.revision) {
            return Reply::Conflict { winner: self.winner.clone(), revision: self.revision };
        }
        let mut tables = self.tables.clone();
        change.edits.iter().for_each(|edit| tables.edit(edit));
        let faults = validation::change(&self.tables, &tables, change);
        if !faults.is_empty() {
            return Reply::Invalid { faults };
        }
        self.tables = tables;
        self.revision = revision;
        self.winner = Some(change.request.clone());
        Reply::Accepted { revision }
    }
}
