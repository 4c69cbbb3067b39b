//! The view of the configuration that is returned to operators.

use super::{Config, Model, PriceClass, Route, Tables, Team, Trainer, Zone};
use catkinlatch_base::{KeyId, Revision, TeamId, derive_schema};

derive_schema! {
    /// The configuration as returned to operators, with only the public part of keys.
    pub struct View {
        /// Revision of the last accepted change; zero if there is none.
        pub revision: Revision,
        /// The teams.
        pub teams: Vec<Team>,
        /// The public parts of the API keys, except withdrawn ones.
        pub keys: Vec<KeyView>,
        /// The routes.
        pub routes: Vec<Route>,
        /// The models.
        pub models: Vec<Model>,
        /// The trainers.
        pub trainers: Vec<Trainer>,
        /// The availability zones.
        pub zones: Vec<Zone>,
        /// The price classes.
        pub price_classes: Vec<PriceClass>,
    }
}

derive_schema! {
    /// The public part of an API key.
    #[derive(Eq)]
    pub struct KeyView {
        /// Id of the key.
        pub id: KeyId,
        /// Team that owns the key.
        pub team: TeamId,
    }
}

impl View {
    /// Creates a view of a configuration.
    pub fn new(config: &Config) -> Self {
        let Tables { teams, keys, routes, models, trainers, zones, price_classes } =
            config.tables();
        let key = |key: &super::Key| KeyView { id: key.id.clone(), team: key.team.clone() };
        Self {
            revision: config.revision(),
            teams: teams.values().cloned().collect(),
            keys: keys.values().map(key).collect(),
            routes: routes.values().cloned().collect(),
            models: models.values().cloned().collect(),
            trainers: trainers.values().cloned().collect(),
            zones: zones.values().cloned().collect(),
            price_classes: price_classes.values().cloned().collect(),
        }
    }

    /// Converts the view into tables, without the keys.
    pub fn into_tables(self) -> Tables {
        Tables {
            teams: self.teams.into_iter().map(|team| (team.id.clone(), team)).collect(),
            keys: Default::default(),
            routes: self.routes.into_iter().map(|route| (route.id.clone(), route)).collect(),
            models: self.models.into_iter().map(|model| (model.id.clone(), model)).collect(),
            trainers: self.trainers.into_iter().map(|t| (t.id.clone(), t)).collect(),
            zones: self.zones.into_iter().map(|zone| (zone.id.clone(), zone)).collect(),
            price_classes: self.price_classes.into_iter().map(|c| (c.id.clone(), c)).collect(),
        }
    }
}
