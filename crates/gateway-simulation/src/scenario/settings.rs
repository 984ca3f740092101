//! What a scenario means for the models: the settings of its gateways, and its servers' figures.

use crate::scenario::{Repeats, Runs, Scenario};
use crate::server::ServerParameters;
use crate::units::{ns, ANSWER_SLACK_NS, METER_PERIOD_NS, MS, SECOND};
use gateway_decisions::{Class, Effect, Group, Plan, Settings};

impl Scenario {
    /// The servers' figures, for their models.
    pub fn server_parameters(&self) -> ServerParameters {
        let s = &self.servers;
        ServerParameters {
            cores: s.cores,
            waiting: s.waiting,
            cold: ns(s.cold_s, SECOND),
            cold_from: s.cold_from,
            fall: ns(s.fall_s, SECOND),
            fall_multiple: s.fall_multiple,
        }
    }

    /// What the scenario's gateway with this number is told at its start.
    pub fn settings(&self, me: u32, zone: u32) -> Settings {
        let classes = self.classes.iter().map(|k| Class {
            name: k.name.clone(),
            latency_target: ns(k.aim_ms, MS),
            deadline: ns(k.deadline_ms, MS),
            effect: match k.effect {
                Runs::Safe => Effect::Safe,
                Runs::Keyed => Effect::Keyed,
                Runs::Unsafe => Effect::Unsafe,
            },
            group: match k.group {
                Repeats::All => Group::All,
                Repeats::Zone => Group::Zone,
                Repeats::Cell => Group::Cell,
            },
            key_ttl: ns(k.key_ms, MS),
            late_value: 0.0,
            value: k.points,
            stream: false,
        });
        let plans = self.plans.iter().map(|t| Plan {
            ceiling_rate: t.ceiling_rate,
            ceiling_burst: t.ceiling_burst,
            value_factor: t.worth,
            ..Plan::new(&t.name, t.rate, t.depth)
        });
        Settings {
            zone,
            gateway_index: me,
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
