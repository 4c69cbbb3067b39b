//! The pools of both deployments and the work offered to them.

use catkinlatch_base::ZoneId;
use catkinlatch_fleet::{
    placement::{Offer, Pool},
    spend::Money,
};

/// The price of a target of full price for an hour.
const FULL_PRICE: Money = Money::from_micros(1_000_000);

/// The price of a cheap target for an hour.
const CHEAP_PRICE: Money = Money::from_micros(350_000);

/// The price class of targets that the platform does not take back.
pub const FULL: &str = "full";

/// The price class of targets that the platform may take back.
pub const CHEAP: &str = "cheap";

/// One pool and the work offered to it.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The pool.
    pub pool: Pool,
    /// Live work at night, in targets kept busy.
    pub live_low: f64,
    /// Live work at the peak of the day, in targets kept busy.
    pub live_high: f64,
    /// Rollouts while the trainers run, in targets kept busy.
    pub rollout: f64,
}

/// One deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its short name.
    pub name: &'static str,
    /// Its pools.
    pub workloads: Vec<Workload>,
}

impl Deployment {
    /// Returns both deployments of today.
    pub fn all() -> [Self; 2] {
        let surveyors = Self {
            name: "surveyors",
            workloads: vec![
                workload("drafting", 3, 9, [0.5, 2.2], 5.0),
                workload("survey-app", 1, 4, [0.4, 1.8], 0.0),
            ],
        };
        let port = Self {
            name: "port",
            workloads: vec![
                workload("claims", 3, 10, [0.8, 3.2], 4.0),
                workload("claims-desk", 2, 5, [0.5, 2.4], 0.0),
            ],
        };
        [surveyors, port]
    }
}

fn workload(role: &str, floor: u32, max: u32, live: [f64; 2], rollout: f64) -> Workload {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let offers = zones.iter().flat_map(|zone| {
        [(FULL, FULL_PRICE), (CHEAP, CHEAP_PRICE)].map(|(class, hourly)| Offer {
            zone: zone.parse::<ZoneId>().expect("the id is valid"),
            price_class: class.to_owned(),
            hourly,
        })
    });
    let pool = Pool {
        role: role.to_owned(),
        live_floor: floor,
        max_targets: max,
        offers: offers.collect(),
    };
    Workload { pool, live_low: live[0], live_high: live[1], rollout }
}
