//! The pools of both deployments and the load offered to them.

use catkinlatch_base::ZoneId;
use catkinlatch_fleet::{
    placement::{Offer, Pool},
    spend::Money,
};

/// Hourly price of a target at full price.
const FULL_PRICE: Money = Money::from_micros(1_000_000);

/// Hourly price of a spot target.
const SPOT_PRICE: Money = Money::from_micros(350_000);

/// Price class of targets that the platform does not reclaim.
pub const FULL: &str = "full";

/// Price class of spot targets, which the platform may reclaim.
pub const SPOT: &str = "cheap";

/// A pool and the load offered to it.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Pool that placement manages.
    pub pool: Pool,
    /// Live load at night, in busy targets.
    pub live_min: f64,
    /// Live load at the peak of the day, in busy targets.
    pub live_peak: f64,
    /// Rollout load while the trainers run, in busy targets.
    pub rollout: f64,
}

/// A deployment with its pools.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Short name in the results.
    pub name: &'static str,
    /// Pools with their load.
    pub workloads: Vec<Workload>,
}

impl Deployment {
    /// Returns both existing deployments.
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
        [(FULL, FULL_PRICE), (SPOT, SPOT_PRICE)].map(|(class, hourly)| Offer {
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
    Workload { pool, live_min: live[0], live_peak: live[1], rollout }
}
