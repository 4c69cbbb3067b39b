//! The difference between the current configuration and a sheet.

use crate::config::{Edit, Part, Subject, Tables};
use catkinlatch_base::derive_schema;
use derive_more::Display;
use serde::Serialize;
use serde_json::{Map, Value};
use std::{collections::BTreeMap, fmt::Display as Show};

derive_schema! {
    /// A human-readable description of a part that a sheet changes.
    #[derive(Eq, Display)]
    #[display("{sign} {subject}{}", format_fields(fields))]
    pub struct Line {
        /// `+` for a new part, `~` for a changed part, `-` for a removed part.
        pub sign: char,
        /// Part that is changed.
        pub subject: Subject,
        /// Descriptions of the changed fields.
        pub fields: Vec<String>,
    }
}

/// The difference between the current configuration and a sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Edits that turn the current configuration into that of the sheet.
    pub edits: Vec<Edit>,
    /// Human-readable description of the edits.
    pub lines: Vec<Line>,
}

impl Diff {
    /// Compares the current tables with those of a sheet; ignores keys.
    pub fn new(before: &Tables, after: &Tables) -> Self {
        let mut diff = Self::default();
        let (b, a) = (before, after);
        diff.compare(Part::Zone, &b.zones, &a.zones, Edit::PutZone, Edit::DropZone);
        diff.compare(
            Part::PriceClass,
            &b.price_classes,
            &a.price_classes,
            Edit::PutPriceClass,
            Edit::DropPriceClass,
        );
        diff.compare(Part::Team, &b.teams, &a.teams, Edit::PutTeam, Edit::DropTeam);
        diff.compare(Part::Model, &b.models, &a.models, Edit::PutModel, Edit::DropModel);
        diff.compare(Part::Route, &b.routes, &a.routes, Edit::PutRoute, Edit::DropRoute);
        diff.compare(Part::Trainer, &b.trainers, &a.trainers, Edit::PutTrainer, Edit::DropTrainer);
        diff
    }

    /// Returns whether the tables are equal.
    pub fn is_empty(&self) -> bool {
        self.edits.is_empty()
    }

    fn compare<K: Clone + Ord + Show, V: Clone + PartialEq + Serialize>(
        &mut self,
        part: Part,
        before: &BTreeMap<K, V>,
        after: &BTreeMap<K, V>,
        put: fn(V) -> Edit,
        drop: fn(K) -> Edit,
    ) {
        let subject = |id: &K| Subject { kind: part, id: id.to_string() };
        for (id, wanted) in after {
            let present = before.get(id);
            if present == Some(wanted) {
                continue;
            }
            let sign = if present.is_some() { '~' } else { '+' };
            let fields = changed_fields(present.map(to_object), &to_object(wanted));
            self.lines.push(Line { sign, subject: subject(id), fields });
            self.edits.push(put(wanted.clone()));
        }
        for id in before.keys().filter(|id| !after.contains_key(id)) {
            self.lines.push(Line { sign: '-', subject: subject(id), fields: Vec::new() });
            self.edits.push(drop(id.clone()));
        }
    }
}

fn format_fields(fields: &[String]) -> String {
    if fields.is_empty() { String::new() } else { format!(": {}", fields.join(", ")) }
}

fn to_object(value: &impl Serialize) -> Map<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(map)) => map,
        Ok(_) | Err(_) => Map::new(),
    }
}

/// Describes the fields of a new part, or the changed fields of a part with both values.
fn changed_fields(before: Option<Map<String, Value>>, after: &Map<String, Value>) -> Vec<String> {
    let fields = after.iter().filter(|(name, _)| *name != "id");
    match before {
        None => fields
            .filter(|(_, value)| !value.is_null())
            .map(|(name, value)| format!("{name} {}", format_value(value)))
            .collect(),
        Some(before) => fields
            .filter(|(name, value)| before.get(*name) != Some(*value))
            .map(|(name, value)| {
                let earlier = before.get(name).map_or_else(String::new, format_value);
                format!("{name} {earlier} -> {}", format_value(value))
            })
            .collect(),
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
