//! Parses a row into the edit that creates or replaces its part.

use super::cell::{Cells, nearest};
use crate::config::{Edit, Kind, Model, PriceClass, Route, Team, Trainer, Zone};

/// Valid values of the `kind` column.
const KINDS: [&str; 6] = ["team", "route", "model", "trainer", "zone", "price_class"];

/// Parses a row; returns `None` if its kind or a required cell is invalid.
///
/// Reports invalid cells as findings, including optional ones, which then have their default value.
pub fn read(cells: &mut Cells<'_>) -> Option<Edit> {
    let kind = cells.text("kind").to_lowercase().replace([' ', '-'], "_");
    let edit = match kind.as_str() {
        "team" => team(cells).map(Edit::PutTeam),
        "route" => route(cells).map(Edit::PutRoute),
        "model" => model(cells).map(Edit::PutModel),
        "trainer" => trainer(cells).map(Edit::PutTrainer),
        "zone" => zone(cells).map(Edit::PutZone),
        "price_class" => price_class(cells).map(Edit::PutPriceClass),
        _ => {
            let hint = match nearest(&kind, KINDS) {
                Some(near) => format!("did you mean {near:?}?"),
                None => format!("use any of {}", KINDS.join(", ")),
            };
            cells.report("kind", format!("unknown kind {kind:?}"), hint);
            return None;
        }
    };
    cells.report_unused(&kind);
    edit
}

fn team(cells: &mut Cells<'_>) -> Option<Team> {
    let id = cells.required("id");
    let weight = cells.optional("weight").unwrap_or(1);
    let concurrency = cells.optional("concurrency");
    let requests_per_minute = cells.optional("requests_per_minute");
    let tokens_per_minute = cells.optional("tokens_per_minute");
    let budget_tokens_per_window = cells.optional("budget_tokens_per_window");
    let budget_refuses = cells.flag("budget_refuses", false);
    Some(Team {
        weight,
        concurrency,
        requests_per_minute,
        tokens_per_minute,
        budget_tokens_per_window,
        budget_refuses,
        ..Team::new(id?)
    })
}

fn route(cells: &mut Cells<'_>) -> Option<Route> {
    let id = cells.required("id");
    let kind = cells.optional("model").map_or(Kind::Service, Kind::Model);
    let open = cells.flag("open", false);
    let idempotent = cells.flag("idempotent", false);
    let max_request_bytes = cells.optional("max_request_bytes");
    let max_answer_bytes = cells.optional("max_answer_bytes");
    let deadline_ms = cells.optional("deadline_ms");
    let route = Route::new(id?, kind).with_open(open).with_idempotent(idempotent);
    Some(Route {
        max_request_bytes: max_request_bytes.unwrap_or(route.max_request_bytes),
        max_answer_bytes: max_answer_bytes.unwrap_or(route.max_answer_bytes),
        deadline_ms: deadline_ms.unwrap_or(route.deadline_ms),
        ..route
    })
}

fn model(cells: &mut Cells<'_>) -> Option<Model> {
    let id = cells.required("id");
    let trainer = cells.optional("trainer");
    let version = cells.optional("version");
    let live_floor = cells.optional("live_floor").unwrap_or_default();
    let zones = cells.list("zones");
    Some(Model { trainer, version, live_floor, zones, ..Model::new(id?) })
}

fn trainer(cells: &mut Cells<'_>) -> Option<Trainer> {
    let id = cells.required("id");
    let team = cells.required("team");
    let model = cells.required("model");
    let weight = cells.optional("weight").unwrap_or(1);
    let batch_samples = cells.required("batch_samples");
    let max_age_versions = cells.optional("max_age_versions").unwrap_or(1);
    let scorer = cells.optional("scorer");
    let trainer = Trainer::new(id?, team?, model?, batch_samples?);
    Some(Trainer { weight, max_age_versions, scorer, ..trainer })
}

fn zone(cells: &mut Cells<'_>) -> Option<Zone> {
    let id = cells.required("id");
    let region = cells.optional("region");
    let in_use = cells.flag("in_use", true);
    Some(Zone { region, in_use, ..Zone::new(id?) })
}

fn price_class(cells: &mut Cells<'_>) -> Option<PriceClass> {
    let id = cells.required("id");
    let price = cells.thousandths("price_per_hour");
    let may_vanish = cells.flag("may_vanish", false);
    Some(PriceClass::new(id?, price).with_may_vanish(may_vanish))
}
