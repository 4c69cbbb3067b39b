//! Writes a configuration as a sheet.

use super::column::{COLUMNS, IGNORED_COLUMNS};
use crate::config::{Kind, Tables};
use std::{collections::BTreeMap, fmt::Display};

/// The cells of a row by column; absent columns are empty.
type Cells = BTreeMap<&'static str, String>;

/// Writes tables as a sheet that parses to the same tables, without the keys.
pub fn write(tables: &Tables) -> String {
    let columns: Vec<&str> = COLUMNS.into_iter().filter(|c| !IGNORED_COLUMNS.contains(c)).collect();
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(&columns).expect("a vector takes any bytes");
    for row in rows(tables) {
        let cells = columns.iter().map(|column| row.get(column).map_or("", String::as_str));
        writer.write_record(cells).expect("a vector takes any bytes");
    }
    let bytes = writer.into_inner().expect("a vector takes any bytes");
    String::from_utf8(bytes).expect("the cells are text")
}

fn rows(tables: &Tables) -> Vec<Cells> {
    let zones = tables.zones.values().map(|zone| {
        let cells = row("zone", &zone.id);
        with(cells, [("region", optional(&zone.region)), ("in_use", flag(zone.in_use))])
    });
    let classes = tables.price_classes.values().map(|class| {
        let price = class.price_per_hour_thousandths;
        let price = format!("{}.{:03}", price / 1_000, price % 1_000);
        let cells = row("price_class", &class.id);
        with(cells, [("price_per_hour", price), ("may_vanish", flag(class.may_vanish))])
    });
    let teams = tables.teams.values().map(|team| {
        let cells = [
            ("weight", team.weight.to_string()),
            ("concurrency", optional(&team.concurrency)),
            ("requests_per_minute", optional(&team.requests_per_minute)),
            ("tokens_per_minute", optional(&team.tokens_per_minute)),
            ("budget_tokens_per_window", optional(&team.budget_tokens_per_window)),
            ("budget_refuses", flag(team.budget_refuses)),
        ];
        with(row("team", &team.id), cells)
    });
    let models = tables.models.values().map(|model| {
        let zones: Vec<&str> = model.zones.iter().map(|zone| zone.as_str()).collect();
        let cells = [
            ("trainer", optional(&model.trainer)),
            ("version", optional(&model.version)),
            ("live_floor", model.live_floor.to_string()),
            ("zones", zones.join(" ")),
        ];
        with(row("model", &model.id), cells)
    });
    let routes = tables.routes.values().map(|route| {
        let model = match &route.kind {
            Kind::Model(model) => model.to_string(),
            Kind::Service => String::new(),
        };
        let cells = [
            ("model", model),
            ("open", flag(route.open)),
            ("idempotent", flag(route.idempotent)),
            ("max_request_bytes", route.max_request_bytes.to_string()),
            ("max_answer_bytes", route.max_answer_bytes.to_string()),
            ("deadline_ms", route.deadline_ms.to_string()),
        ];
        with(row("route", &route.id), cells)
    });
    let trainers = tables.trainers.values().map(|trainer| {
        let cells = [
            ("team", trainer.team.to_string()),
            ("model", trainer.model.to_string()),
            ("weight", trainer.weight.to_string()),
            ("batch_samples", trainer.batch_samples.to_string()),
            ("max_age_versions", trainer.max_age_versions.to_string()),
            ("scorer", optional(&trainer.scorer)),
        ];
        with(row("trainer", &trainer.id), cells)
    });
    zones.chain(classes).chain(teams).chain(models).chain(routes).chain(trainers).collect()
}

/// Creates the cells of a row with its kind and id.
fn row(kind: &str, id: impl Display) -> Cells {
    BTreeMap::from([("kind", kind.to_owned()), ("id", id.to_string())])
}

fn with<const N: usize>(mut cells: Cells, more: [(&'static str, String); N]) -> Cells {
    cells.extend(more);
    cells
}

fn optional(value: &Option<impl Display>) -> String {
    value.as_ref().map_or_else(String::new, ToString::to_string)
}

fn flag(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
