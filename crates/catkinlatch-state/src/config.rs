//! The configuration that operators change: teams, keys, routes, models and trainers.

mod change;
mod key;
mod model;
mod route;
mod team;
mod trainer;

pub use self::{
    change::{Change, Edit, Reply},
    key::{Key, Secret},
    model::Model,
    route::{Kind, Route},
    team::Team,
    trainer::Trainer,
};

use catkinlatch_base::{
    KeyId, ModelId, RequestId, Revision, RouteId, TeamId, TrainerId, derive_value,
};
use std::collections::{BTreeMap, VecDeque};

/// How many answered changes are kept, so that a resent change gets its first answer again.
const ANSWERS_KEPT: usize = 1024;

derive_value! {
    /// The configuration in force.
    #[derive(Default)]
    pub struct Config {
        revision: Revision,
        teams: BTreeMap<TeamId, Team>,
        keys: BTreeMap<KeyId, Key>,
        routes: BTreeMap<RouteId, Route>,
        models: BTreeMap<ModelId, Model>,
        trainers: BTreeMap<TrainerId, Trainer>,
        answers: VecDeque<Answer>,
    }
}

derive_value! {
    /// A change that was answered, kept for resends.
    struct Answer {
        change: Change,
        reply: Reply,
    }
}

impl Config {
    /// Returns the revision of the last change that was accepted.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the team of that name.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        self.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> &BTreeMap<TeamId, Team> {
        &self.teams
    }

    /// Returns all keys, withdrawn ones excluded.
    pub fn keys(&self) -> &BTreeMap<KeyId, Key> {
        &self.keys
    }

    /// Returns all routes.
    pub fn routes(&self) -> &BTreeMap<RouteId, Route> {
        &self.routes
    }

    /// Returns all models.
    pub fn models(&self) -> &BTreeMap<ModelId, Model> {
        &self.models
    }

    /// Returns all trainers.
    pub fn trainers(&self) -> &BTreeMap<TrainerId, Trainer> {
        &self.trainers
    }

    /// Returns the team whose key `presented` is, if the key is in force.
    pub fn authenticate(&self, presented: &str) -> Option<(&KeyId, &TeamId)> {
        let secret = Secret::parse(presented)?;
        let (id, key) = self.keys.get_key_value(secret.id())?;
        key.matches(&secret).then_some((id, &key.team))
    }

    /// Applies a change whole or not at all.
    pub fn apply(&mut self, change: &Change, revision: Revision) -> Reply {
        if let Some(reply) = self.earlier_answer(change) {
            return reply;
        }
        let reply = self.decide(change, revision);
        if self.answers.len() == ANSWERS_KEPT {
            self.answers.pop_front();
        }
        self.answers.push_back(Answer { change: change.clone(), reply: reply.clone() });
        reply
    }

    /// Finds the answer to an earlier change with the same request id.
    fn earlier_answer(&self, change: &Change) -> Option<Reply> {
        let earlier = self.answers.iter().find(|a| a.change.request == change.request)?;
        if earlier.change == *change {
            return Some(earlier.reply.clone());
        }
        Some(Reply::RequestReused { request: change.request.clone() })
    }

    fn decide(&mut self, change: &Change, revision: Revision) -> Reply {
        if change.base.is_some_and(|base| base != self.revision) {
            return Reply::Conflict { winner: self.last_winner(), revision: self.revision };
        }
        for edit in &change.edits {
            self.edit(edit);
        }
        self.revision = revision;
        Reply::Accepted { revision }
    }

    /// Names the change that made the present revision.
    fn last_winner(&self) -> Option<RequestId> {
        let made = Reply::Accepted { revision: self.revision };
        let winner = self.answers.iter().rev().find(|answer| answer.reply == made)?;
        Some(winner.change.request.clone())
    }

    fn edit(&mut self, edit: &Edit) {
        match edit.clone() {
            Edit::PutTeam(team) => {
                self.teams.insert(team.id.clone(), team);
            }
            Edit::DropTeam(id) => {
                self.teams.remove(&id);
                self.keys.retain(|_, key| key.team != id);
            }
            Edit::PutRoute(route) => {
                self.routes.insert(route.id.clone(), route);
            }
            Edit::DropRoute(id) => {
                self.routes.remove(&id);
            }
            Edit::PutModel(model) => {
                self.models.insert(model.id.clone(), model);
            }
            Edit::DropModel(id) => {
                self.models.remove(&id);
            }
            Edit::PutTrainer(trainer) => {
                self.trainers.insert(trainer.id.clone(), trainer);
            }
            Edit::DropTrainer(id) => {
                self.trainers.remove(&id);
            }
            Edit::PutKey(key) => {
                self.keys.insert(key.id.clone(), key);
            }
            Edit::WithdrawKey(id) => {
                self.keys.remove(&id);
            }
        }
    }
}
