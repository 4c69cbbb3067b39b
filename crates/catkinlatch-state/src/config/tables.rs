//! The tables of the configuration.

use super::{Edit, Key, Model, PriceClass, Route, Team, Trainer, Zone};
use catkinlatch_base::{
    KeyId, ModelId, PriceClassId, RouteId, TeamId, TrainerId, ZoneId, derive_value,
};
use std::collections::BTreeMap;

derive_value! {
    /// The tables of the configuration, each by id.
    ///
    /// Tables may have faults; see [`validation`](super::validation).
    #[derive(Default)]
    pub struct Tables {
        /// The teams.
        pub teams: BTreeMap<TeamId, Team>,
        /// The API keys, except withdrawn ones.
        pub keys: BTreeMap<KeyId, Key>,
        /// The routes.
        pub routes: BTreeMap<RouteId, Route>,
        /// The models.
        pub models: BTreeMap<ModelId, Model>,
        /// The trainers.
        pub trainers: BTreeMap<TrainerId, Trainer>,
        /// The availability zones; if there are none, targets may run anywhere.
        pub zones: BTreeMap<ZoneId, Zone>,
        /// The price classes.
        pub price_classes: BTreeMap<PriceClassId, PriceClass>,
    }
}

impl Tables {
    /// Applies one edit without validation.
    pub fn edit(&mut self, edit: &Edit) {
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
            Edit::PutZone(zone) => {
                self.zones.insert(zone.id.clone(), zone);
            }
            Edit::DropZone(id) => {
                self.zones.remove(&id);
            }
            Edit::PutPriceClass(class) => {
                self.price_classes.insert(class.id.clone(), class);
            }
            Edit::DropPriceClass(id) => {
                self.price_classes.remove(&id);
            }
            Edit::PutKey(key) => {
                self.keys.insert(key.id.clone(), key);
            }
            Edit::WithdrawKey(id) => {
                self.keys.remove(&id);
            }
        }
    }

    /// Returns the zones in use in which a model may run; `None` if it may run anywhere.
    pub fn zones_of(&self, model: &Model) -> Option<Vec<&ZoneId>> {
        if self.zones.is_empty() {
            return None;
        }
        let may_run = |zone: &&Zone| {
            zone.in_use && (model.zones.is_empty() || model.zones.contains(&zone.id))
        };
        Some(self.zones.values().filter(may_run).map(|zone| &zone.id).collect())
    }
}
