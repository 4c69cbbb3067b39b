//! Validation of the configuration that would result from a change.

use super::{Change, Edit, Fault, Kind, Model, Part, Route, Subject, Tables, Trainer};
use std::{collections::BTreeSet, fmt::Display};

/// Maximum number of faults that are reported for one change.
const MAX_FAULTS: usize = 64;

/// Validates the edits against the tables `before` and the resulting tables `after`.
///
/// Returns the faults, or an empty list if the change is valid.
pub fn change(before: &Tables, after: &Tables, change: &Change) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.edits(before, &change.edits);
    faults.tables(after);
    faults.list
}

/// Validates tables and the references between them.
pub fn tables(tables: &Tables) -> Vec<Fault> {
    let mut faults = Faults::default();
    faults.tables(tables);
    faults.list
}

/// Collects faults, up to [`MAX_FAULTS`].
#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, subject: &Subject, field: &str, text: String, hint: &str) {
        if self.list.len() < MAX_FAULTS {
            let (subject, field) = (subject.clone(), field.to_owned());
            self.list.push(Fault { subject, field, text, hint: hint.to_owned() });
        }
    }

    fn edits(&mut self, before: &Tables, edits: &[Edit]) {
        let mut seen = BTreeSet::new();
        for edit in edits {
            let subject = edit.subject();
            if !seen.insert(subject.clone()) {
                let text = "is edited twice in one change".to_owned();
                self.add(&subject, "id", text, "keep one of the edits");
            }
            if edit.is_removal() && !contains(before, &subject) {
                let hint = "look at the configuration and correct the name";
                self.add(&subject, "id", "does not exist".to_owned(), hint);
            }
            if let Edit::PutKey(key) = edit
                && before.keys.get(&key.id).is_some_and(|present| present != key)
            {
                let text = "is in force with another secret or team".to_owned();
                self.add(&subject, "id", text, "give the new key another id");
            }
        }
    }

    fn tables(&mut self, tables: &Tables) {
        for key in tables.keys.values() {
            if !tables.teams.contains_key(&key.team) {
                let subject = subject(Part::Key, &key.id);
                self.add_unknown(&subject, "team", Part::Team, &key.team);
            }
        }
        tables.routes.values().for_each(|route| self.route(tables, route));
        tables.models.values().for_each(|model| self.model(tables, model));
        tables.trainers.values().for_each(|trainer| self.trainer(tables, trainer));
    }

    fn add_unknown(&mut self, subject: &Subject, field: &str, part: Part, id: impl Display) {
        let text = format!("{field} names {part} {id}, which does not exist");
        self.add(subject, field, text, "add it or correct the name");
    }

    fn add_zero(&mut self, subject: &Subject, field: &str) {
        self.add(subject, field, format!("{field} is 0"), "give at least 1");
    }

    fn route(&mut self, tables: &Tables, route: &Route) {
        let subject = subject(Part::Route, &route.id);
        if let Kind::Model(model) = &route.kind
            && !tables.models.contains_key(model)
        {
            self.add_unknown(&subject, "model", Part::Model, model);
        }
        for (field, value) in [
            ("max_request_bytes", route.max_request_bytes),
            ("max_answer_bytes", route.max_answer_bytes),
            ("deadline_ms", route.deadline_ms),
        ] {
            if value == 0 {
                self.add_zero(&subject, field);
            }
        }
    }

    fn model(&mut self, tables: &Tables, model: &Model) {
        let subject = subject(Part::Model, &model.id);
        if let Some(trainer) = &model.trainer {
            match tables.trainers.get(trainer) {
                None => self.add_unknown(&subject, "trainer", Part::Trainer, trainer),
                Some(found) if found.model != model.id => {
                    let text = format!("trainer {trainer} trains model {}", found.model);
                    self.add(&subject, "trainer", text, "make the two agree");
                }
                Some(_) => {}
            }
        }
        for zone in model.zones.iter().filter(|zone| !tables.zones.contains_key(*zone)) {
            self.add_unknown(&subject, "zones", Part::Zone, zone);
        }
    }

    fn trainer(&mut self, tables: &Tables, trainer: &Trainer) {
        let subject = subject(Part::Trainer, &trainer.id);
        if !tables.teams.contains_key(&trainer.team) {
            self.add_unknown(&subject, "team", Part::Team, &trainer.team);
        }
        if !tables.models.contains_key(&trainer.model) {
            self.add_unknown(&subject, "model", Part::Model, &trainer.model);
        }
        if trainer.batch_samples == 0 {
            self.add_zero(&subject, "batch_samples");
        }
        let Some(scorer) = &trainer.scorer else { return };
        match tables.routes.get(scorer) {
            None => self.add_unknown(&subject, "scorer", Part::Route, scorer),
            Some(route) if route.kind != Kind::Service => {
                let text = format!("scorer {scorer} is not a plain service");
                self.add(&subject, "scorer", text, "name a route to a plain service");
            }
            Some(_) => {}
        }
    }
}

fn subject(kind: Part, id: impl Display) -> Subject {
    Subject { kind, id: id.to_string() }
}

/// Returns whether the tables contain a part.
fn contains(tables: &Tables, subject: &Subject) -> bool {
    fn has_id<K: std::str::FromStr + Ord, V>(
        table: &std::collections::BTreeMap<K, V>,
        id: &str,
    ) -> bool {
        id.parse().is_ok_and(|id: K| table.contains_key(&id))
    }
    let id = subject.id.as_str();
    match subject.kind {
        Part::Team => has_id(&tables.teams, id),
        Part::Key => has_id(&tables.keys, id),
        Part::Route => has_id(&tables.routes, id),
        Part::Model => has_id(&tables.models, id),
        Part::Trainer => has_id(&tables.trainers, id),
        Part::Zone => has_id(&tables.zones, id),
        Part::PriceClass => has_id(&tables.price_classes, id),
    }
}

impl Edit {
    /// Returns the part that the edit creates, replaces or removes.
    pub fn subject(&self) -> Subject {
        match self {
            Self::PutTeam(team) => subject(Part::Team, &team.id),
            Self::DropTeam(id) => subject(Part::Team, id),
            Self::PutRoute(route) => subject(Part::Route, &route.id),
            Self::DropRoute(id) => subject(Part::Route, id),
            Self::PutModel(model) => subject(Part::Model, &model.id),
            Self::DropModel(id) => subject(Part::Model, id),
            Self::PutTrainer(trainer) => subject(Part::Trainer, &trainer.id),
            Self::DropTrainer(id) => subject(Part::Trainer, id),
            Self::PutZone(zone) => subject(Part::Zone, &zone.id),
            Self::DropZone(id) => subject(Part::Zone, id),
            Self::PutPriceClass(class) => subject(Part::PriceClass, &class.id),
            Self::DropPriceClass(id) => subject(Part::PriceClass, id),
            Self::PutKey(key) => subject(Part::Key, &key.id),
            Self::WithdrawKey(id) => subject(Part::Key, id),
        }
    }

    /// Returns whether the edit removes its part.
    pub fn is_removal(&self) -> bool {
        match self {
            Self::DropTeam(_)
            | Self::DropRoute(_)
            | Self::DropModel(_)
            | Self::DropTrainer(_)
            | Self::DropZone(_)
            | Self::DropPriceClass(_)
            | Self::WithdrawKey(_) => true,
            Self::PutTeam(_)
            | Self::PutRoute(_)
            | Self::PutModel(_)
            | Self::PutTrainer(_)
            | Self::PutZone(_)
            | Self::PutPriceClass(_)
            | Self::PutKey(_) => false,
        }
    }
}
