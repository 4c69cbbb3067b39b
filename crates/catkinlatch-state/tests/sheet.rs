//! Tests of parsing, comparing and writing sheets.

use catkinlatch_state::{
    config::{Edit, KeyView, Kind, Model, PriceClass, Route, Tables, Team, Trainer, Zone},
    sheet::{Diff, Sheet, dangers, write},
};
use proptest::prelude::*;
use std::str::FromStr;
use test_case::test_case;

const PLAN: &str = "kind,id,weight,team,model,batch_samples,price_per_hour,in_use,note\n\
    zone,z1,,,,,,yes,\n\
    zone,z2,,,,,,no,\"closed, for now\"\n\
    price_class,cheap,,,,,2.5,,\n\
    team,harbour,3,,,,,,\n\
    model,draft,,,,,,,\n\
    route,draft,,,draft,,,,\n\
    route,lookup,,,,,,,\n\
    trainer,t1,2,harbour,draft,64,,,\n";

fn id<T: FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("the id {text:?} is valid"))
}

fn parse(text: &str) -> Sheet {
    Sheet::parse("plan.csv", text.as_bytes()).unwrap_or_else(|findings| panic!("{findings}"))
}

#[test]
fn rows_become_tables() {
    let tables = parse(PLAN).tables().clone();
    assert_eq!(tables.teams[&id("harbour")], Team::new(id("harbour")).with_weight(3));
    assert_eq!(tables.zones[&id("z2")], Zone::new(id("z2")).with_in_use(false));
    assert_eq!(tables.price_classes[&id("cheap")], PriceClass::new(id("cheap"), 2_500));
    assert_eq!(tables.routes[&id("draft")].kind, Kind::Model(id("draft")));
    assert_eq!(tables.routes[&id("lookup")].kind, Kind::Service);
    assert_eq!(tables.trainers[&id("t1")].weight, 2);
}

#[test_case(|plan| format!("\u{feff}{plan}"); "byte order mark")]
#[test_case(|plan| plan.replace('\n', "\r\n"); "carriage returns")]
#[test_case(|plan| plan.replace(", for", " for").replace(',', ";"); "semicolons")]
#[test_case(|plan| format!("sep=,\r\n{plan}"); "separator line")]
#[test_case(|plan| plan.replace("harbour,3", "\"harbour\",\"3\""); "quoted cells")]
#[test_case(|plan| format!("{plan},,,,,,,,\n\n"); "empty rows")]
#[test_case(|plan| plan.replace("kind,id", "Kind, ID"); "capitals in the header")]
fn spreadsheet_dialects_are_equivalent(vary: fn(&str) -> String) {
    assert_eq!(parse(&vary(PLAN)).tables(), parse(PLAN).tables());
}

#[test]
fn all_findings_have_row_and_column() {
    let text = "kind,id,weight,model,batch_samples,team\n\
        team,\"har\nbour\",1,,,\n\
        team,quay,1.5,,,\n\
        teem,pier,1,,,\n\
        route,draft,,drift,,\n\
        trainer,t1,,,0,quay\n\
        team,quay,2,,,\n\
        team,dock,2,draft,,\n";
    let findings = Sheet::parse("plan.csv", text.as_bytes()).expect_err("the sheet has faults");
    let seen: Vec<String> = findings.list().iter().map(ToString::to_string).collect();
    let expected = [
        ("plan.csv:2:2", "id \"har\\nbour\" is not valid"),
        ("plan.csv:3:3", "weight \"1.5\" is not valid"),
        ("plan.csv:4:1", "unknown kind \"teem\"; did you mean \"team\"?"),
        ("plan.csv:5:4", "route draft: model names model drift, which does not exist"),
        ("plan.csv:6:4", "model is empty"),
        ("plan.csv:7:2", "team quay is also in row 3"),
        ("plan.csv:8:4", "model does not apply to a team"),
    ];
    assert_eq!(seen.len(), expected.len(), "{seen:#?}");
    for (seen, (place, text)) in seen.iter().zip(expected) {
        assert!(seen.starts_with(&format!("{place}: {text}")), "{seen}");
    }
}

#[test_case("kind,id,wieght\n", "1:3: unknown column \"wieght\"; did you mean \"weight\"?"; "column")]
#[test_case("id,weight\n", "1:1: the column \"kind\" is missing"; "missing column")]
#[test_case("kind,id,id\n", "1:3: the column \"id\" is there twice"; "double column")]
#[test_case("", "1:1: the sheet is empty"; "empty")]
#[test_case("kind,id\nteam,a,b\n", "2:1: the row has cells beyond the header"; "too many cells")]
#[test_case("kind,id,price_per_hour\nprice_class,a,1.2345\n", "2:3: price_per_hour \"1.2345\" is not"; "price")]
#[test_case("kind,id,in_use\nzone,a,perhaps\n", "2:3: in_use \"perhaps\" is not valid"; "flag")]
fn fault_is_found(text: &str, expected: &str) {
    let findings = Sheet::parse("plan.csv", text.as_bytes()).expect_err("the sheet has a fault");
    let seen = findings.to_string();
    assert!(seen.starts_with(&format!("plan.csv:{expected}")), "{seen}");
    assert_eq!(findings.list().len(), 1, "{seen}");
}

#[test]
fn text_in_another_encoding_is_refused() {
    let findings = Sheet::parse("p", b"kind,id,note\nteam,a,caf\xe9\n").expect_err("not UTF-8");
    assert_eq!(
        findings.list()[0].to_string(),
        "p:2:3: the cell is not UTF-8 text; export the sheet as CSV in UTF-8"
    );
}

#[test]
fn diff_is_readable_and_produces_the_sheet() {
    let sheet = parse(PLAN);
    let mut tables = sheet.tables().clone();
    tables.edit(&Edit::PutTeam(Team::new(id("harbour"))));
    tables.edit(&Edit::DropZone(id("z2")));
    tables.edit(&Edit::PutTeam(Team::new(id("old"))));
    let diff = Diff::new(&tables, sheet.tables());
    let lines: Vec<String> = diff.lines.iter().map(ToString::to_string).collect();
    let expected = ["+ zone z2: in_use false", "~ team harbour: weight 1 -> 3", "- team old"];
    assert_eq!(lines, expected);
    diff.edits.iter().for_each(|edit| tables.edit(edit));
    assert!(Diff::new(&tables, sheet.tables()).is_empty());
}

#[test]
fn dangers_are_described() {
    let before = parse(PLAN).tables().clone();
    let keys = [KeyView { id: id("k1"), team: id("harbour") }];
    assert_eq!(dangers(&before, &keys, &before), [""; 0]);
    let mut after = before.clone();
    after.edit(&Edit::DropTeam(id("harbour")));
    after.edit(&Edit::PutZone(Zone::new(id("z1")).with_in_use(false)));
    let expected = [
        "all 1 keys would be withdrawn",
        "team harbour would have no share",
        "route draft would have no zone left",
    ];
    assert_eq!(dangers(&before, &keys, &after), expected);
}

fn tables() -> impl Strategy<Value = Tables> {
    let numbers = proptest::collection::vec(0..1_000_u32, 1..6);
    (numbers, any::<bool>()).prop_map(|(numbers, flag)| {
        let mut tables = Tables::default();
        for (n, number) in numbers.into_iter().enumerate() {
            let name = format!("n{n}");
            let team = Team {
                concurrency: flag.then_some(number),
                budget_refuses: flag,
                ..Team::new(id(&name)).with_weight(number)
            };
            let zone = Zone::new(id(&name)).with_in_use(flag);
            let class = PriceClass::new(id(&name), u64::from(number)).with_may_vanish(flag);
            let model = Model::new(id(&name)).with_live_floor(number).with_zones(vec![id("n0")]);
            let kind = if flag { Kind::Model(id(&name)) } else { Kind::Service };
            let route = Route::new(id(&name), kind).with_open(flag);
            let trainer = Trainer::new(id(&name), id(&name), id(&name), number + 1);
            for edit in [
                Edit::PutTeam(team),
                Edit::PutZone(zone),
                Edit::PutPriceClass(class),
                Edit::PutModel(model),
                Edit::PutRoute(route),
                Edit::PutTrainer(trainer),
            ] {
                tables.edit(&edit);
            }
        }
        tables
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn written_sheet_parses_to_the_same_tables(tables in tables()) {
        let read = parse(&write(&tables));
        prop_assert_eq!(read.tables(), &tables);
    }

    #[test]
    fn diff_between_any_tables_produces_the_second(mut before in tables(), after in tables()) {
        let diff = Diff::new(&before, &after);
        diff.edits.iter().for_each(|edit| before.edit(edit));
        prop_assert_eq!(before, after);
    }
}
