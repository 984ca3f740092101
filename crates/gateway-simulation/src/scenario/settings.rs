//! Converts a scenario to the settings of its gateways and the parameters of its servers.

use crate::scenario::{Repeats, Runs, Scenario};
use crate::server::ServerParameters;
use crate::units::{ns, ANSWER_SLACK_NS, METER_PERIOD_NS, MS, SECOND};
use gateway_decisions::{Class, Effect, Group, Plan, Settings};

impl Scenario {
    /// Returns the parameters of the scenario's servers.
    pub fn server_parameters(&self) -> ServerParameters {
        let servers = &self.servers;
        ServerParameters {
            cores: servers.cores,
            queue_capacity: servers.waiting,
            warm_up_time: ns(servers.cold_s, SECOND),
            warm_up_from: servers.cold_from,
            overload_tolerance: ns(servers.fall_s, SECOND),
            overload_multiple: servers.fall_multiple,
        }
    }

    /// Returns the settings of gateway `gateway_index`, which is in zone `zone`.
    pub fn settings(&self, gateway_index: u32, zone: u32) -> Settings {
        let classes = self.classes.iter().map(|kind| Class {
            name: kind.name.clone(),
            latency_target: ns(kind.aim_ms, MS),
            deadline: ns(kind.deadline_ms, MS),
            effect: match kind.effect {
                Runs::Safe => Effect::Safe,
                Runs::Keyed => Effect::Keyed,
                Runs::Unsafe => Effect::Unsafe,
            },
            group: match kind.group {
                Repeats::All => Group::All,
                Repeats::Zone => Group::Zone,
                Repeats::Cell => Group::Cell,
            },
            key_ttl: ns(kind.key_ms, MS),
            late_value: 0.0,
            value: kind.points,
            stream: false,
        });
        let plans = self.plans.iter().map(|tariff| Plan {
            ceiling_rate: tariff.ceiling_rate,
            ceiling_burst: tariff.ceiling_burst,
            value_factor: tariff.worth,
            ..Plan::new(&tariff.name, tariff.rate, tariff.depth)
        });
        Settings {
            zone,
            gateway_index,
            gateways: self.gateways.count,
            classes: classes.collect(),
            plans: plans.collect(),
            cancelling: true,
            retry_after: true,
            max_retry_after: ns(2.0, SECOND),
            try_limit: self.gateways.tries,
            meter_period: METER_PERIOD_NS,
            warm_up_time: ns(self.servers.cold_s, SECOND),
            warm_up_from: self.servers.cold_from,
            overload_tolerance: ns(self.servers.fall_s, SECOND),
            overload_multiple: self.servers.fall_multiple,
            answer_slack: ANSWER_SLACK_NS,
            cross_zone_price: self.network.crossing_price,
            tick: ns(self.gateways.tick_ms, MS),
            connection_idle_time: ns(self.servers.idle_s, SECOND),
            ..Settings::default()
        }
    }
}
