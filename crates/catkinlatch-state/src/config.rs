//! The configuration that operators change: teams, keys, routes, models, trainers and zones.

mod answer;
pub mod audit;
mod change;
mod fault;
mod key;
mod model;
mod route;
mod tables;
mod team;
mod trainer;
mod view;
mod zone;

pub use self::{
    answer::WINDOW,
    change::{Change, Edit, Reply},
    fault::{Fault, Part, Subject},
    key::{Key, Secret},
    model::Model,
    route::{Kind, Route},
    tables::Tables,
    team::Team,
    trainer::Trainer,
    view::{KeyView, View},
    zone::{PriceClass, Zone},
};

use self::answer::Answers;
use catkinlatch_base::{
    KeyId, ModelId, PriceClassId, RequestId, Revision, RouteId, TeamId, TrainerId, ZoneId,
    derive_value,
};
use std::collections::BTreeMap;

derive_value! {
    /// The configuration in force.
    #[derive(Default)]
    pub struct Config {
        revision: Revision,
        winner: Option<RequestId>,
        tables: Tables,
        answers: Answers,
    }
}

impl Config {
    /// Returns the revision of the last change that was accepted.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the team of that name.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        self.tables.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &BTreeMap<TeamId, Team> {
        &self.tables.teams
    }

    /// Returns all keys, withdrawn ones excluded.
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

    /// Returns all availability zones; if there are none, targets run anywhere.
    pub fn zones(&self) -> &BTreeMap<ZoneId, Zone> {
        &self.tables.zones
    }

    /// Returns all price classes.
    pub fn price_classes(&self) -> &BTreeMap<PriceClassId, PriceClass> {
        &self.tables.price_classes
    }

    /// Returns the team whose key `presented` is, if the key is in force.
    pub fn authenticate(&self, presented: &str) -> Option<(&KeyId, &TeamId)> {
        let secret = Secret::parse(presented)?;
        let (id, key) = self.tables.keys.get_key_value(secret.id())?;
        key.matches(&secret).then_some((id, &key.team))
    }

    /// Applies a change whole or not at all.
    ///
    /// A change with the request id and content of one of the newest [`WINDOW`] changes gets the
    /// first answer again, whatever has changed since.
    pub fn apply(&mut self, change: &Change, revision: Revision) -> Reply {
        if let Some(reply) = self.answers.earlier(change) {
            return reply;
        }
        let reply = self.decide(change, revision);
        self.answers.keep(change, reply.clone());
        reply
    }

    fn decide(&mut self, change: &Change, revision: Revision) -> Reply {
        if change.base.is_some_and(|base| base != self.revision) {
            return Reply::Conflict { winner: self.winner.clone(), revision: self.revision };
        }
        let mut tables = self.tables.clone();
        change.edits.iter().for_each(|edit| tables.edit(edit));
        let faults = audit::change(&self.tables, &tables, change);
        if !faults.is_empty() {
            return Reply::Invalid { faults };
        }
        self.tables = tables;
        self.revision = revision;
        self.winner = Some(change.request.clone());
        Reply::Accepted { revision }
    }
}
