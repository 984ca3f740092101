//! The choice of a server: the least expected wait, or nearly, among the servers that may take a request.

use crate::decide::gateway::Gateway;
use crate::decide::outlier_detection::OutcomeOf;
use crate::decide::server_list::ready;
use crate::decide::slow_start::WarmUpDraw;
use crate::interface::{Effect, Group, Name, RequestId};
use crate::state::{secs, PendingRequest, Server};

/// With very many gateways, a server is drawn at random if its cost exceeds the least by at most this share
/// of the least expected wait.
const NEAR_EQUAL_MARGIN: f64 = 0.3;
/// If at most this many gateways use a server, only the best server is chosen.
const FEW_GATEWAYS: f64 = 2.0;
/// Cost of a bad outcome, as waiting time in latency targets.
const BAD_OUTCOME_COST_TARGETS: f64 = 2.0;
/// Cost of a bad outcome if the request cannot be retried, as waiting time in latency targets.
const UNREPEATABLE_BAD_OUTCOME_COST_TARGETS: f64 = 2.0 * BAD_OUTCOME_COST_TARGETS;

/// The servers among which to choose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CandidateSet {
    /// The servers of this gateway's subset.
    Subset,
    /// All servers that may get requests.
    AllReady,
}

/// A server that may take a request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    name: &'a Name,
    /// Whether an attempt of the request has already been sent to the server.
    tried: bool,
    /// Expected wait plus the cost of the expected bad outcomes, in mean answer times of the class.
    cost: f64,
    /// Expected wait, in mean answer times of the class.
    wait: f64,
}

impl Candidate<'_> {
    /// Sort key: untried servers first, then by cost.
    fn rank(&self) -> (bool, f64) {
        (self.tried, self.cost)
    }
}

/// The servers that may take a request, and the index of the one that is warming up and selected by the
/// request's draw.
#[derive(Default)]
struct Candidates<'a> {
    all: Vec<Candidate<'a>>,
    warming_up: Option<usize>,
}

/// The result of a choice.
enum Shortlist {
    /// This server.
    One(Name),
    /// One of these servers, to be drawn at random.
    NearEqual(Vec<Name>),
}

/// The cost of bad outcomes for one request, and their rates over the fleet.
struct BadOutcomes {
    /// Cost of one bad outcome, in mean answer times of the class.
    cost: f64,
    fleet_class_rate: f64,
    fleet_plan_rate: f64,
}

impl Gateway {
    /// A server with the least expected wait, or nearly, among those that may take this request.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<Name> {
        let shortlist = self
            .shortlist(id, CandidateSet::Subset)
            .or_else(|| self.shortlist(id, CandidateSet::AllReady))?;
        match shortlist {
            Shortlist::One(name) => Some(name),
            Shortlist::NearEqual(mut names) => {
                let drawn = self.rng.usize(..names.len());
                Some(names.swap_remove(drawn))
            }
        }
    }

    fn shortlist(&self, id: RequestId, set: CandidateSet) -> Option<Shortlist> {
        let candidates = self.candidates(&self.pending[&id], set);
        if let Some(name) = candidates.selected_by_slow_start() {
            return Some(Shortlist::One(name));
        }
        let best = candidates.best()?;
        let width = self.near_equal_width(best.wait);
        Some(Shortlist::NearEqual(candidates.near_equal(&best, width)))
    }

    /// How far above the least cost a server may lie to be drawn. Not in the paper: nearly equal servers are
    /// drawn at random, from a wider range the more gateways there are. Otherwise one load report, or one
    /// name, would send all gateways to the same server.
    fn near_equal_width(&self, least_wait: f64) -> f64 {
        NEAR_EQUAL_MARGIN * least_wait * (1.0 - FEW_GATEWAYS / self.gateways_per_server).max(0.0)
    }

    fn candidates(&self, request: &PendingRequest, set: CandidateSet) -> Candidates<'_> {
        let bad_outcomes = self.bad_outcomes(request);
        let servers = || {
            let ready = ready(&self.servers, &self.disabled);
            ready.filter(move |(_, server)| set == CandidateSet::AllReady || server.in_subset)
        };
        let total: f64 = servers().map(|(_, server)| self.warm_up_share(server)).sum();
        let mut draw = WarmUpDraw::new(request.warm_up_draw, total);
        let mut found = Candidates::default();
        for (name, server) in servers() {
            let share = self.warm_up_share(server);
            let warming_up = share < 1.0;
            if warming_up && !draw.selects(share) {
                continue;
            }
            if !has_capacity(server, share) || !self.may_run_at(request, server) {
                continue;
            }
            if warming_up {
                found.warming_up = Some(found.all.len());
            }
            let wait = self.expected_wait(server, request.class, share);
            let bad = self.bad_rate(server, OutcomeOf::Class(request.class), bad_outcomes.fleet_class_rate)
                + self.bad_rate(server, OutcomeOf::Plan(request.plan), bad_outcomes.fleet_plan_rate);
            let tried = request.tried_servers.contains(name);
            found.all.push(Candidate { name, tried, cost: wait + bad_outcomes.cost * bad, wait });
        }
        found
    }

    fn bad_outcomes(&self, request: &PendingRequest) -> BadOutcomes {
        let class = &self.settings.classes[request.class];
        let cost = if class.effect == Effect::Unsafe {
            UNREPEATABLE_BAD_OUTCOME_COST_TARGETS
        } else {
            BAD_OUTCOME_COST_TARGETS
        };
        BadOutcomes {
            cost: cost * secs(class.latency_target) / self.mean_answer_seconds[request.class].max(1e-9),
            fleet_class_rate: self.fleet_bad_rate(OutcomeOf::Class(request.class)),
            fleet_plan_rate: self.fleet_bad_rate(OutcomeOf::Plan(request.plan)),
        }
    }

    /// Whether this server may run the request. A keyed request that may have run needs a server that
    /// recognises the key; other requests may run anywhere.
    fn may_run_at(&self, request: &PendingRequest, server: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first) = request.first_run else { return true };
        if class.effect != Effect::Keyed {
            return true;
        }
        let recognises_key = match class.group {
            Group::All => true,
            Group::Zone => first.zone == server.zone,
            Group::Cell => first.cell == server.cell,
        };
        let key_expired = self.now + self.settings.tick >= first.sent_at + class.key_ttl;
        recognises_key && !key_expired
    }
}

/// Whether a server's limits allow one more attempt. Slow start reduces the concurrency limit to
/// `warm_up_share`.
fn has_capacity(server: &Server, warm_up_share: f64) -> bool {
    let attempts = server.concurrency_limit * warm_up_share;
    server.gateway_in_flight() + 1.0 <= attempts.min(server.connection_limit).max(1.0)
}

impl Candidates<'_> {
    /// The server that is warming up and selected by the draw, unless more than two thirds of the candidates
    /// look better. It need not look best: little is known of a server that is seldom used, and among many
    /// servers one is always known to be idle.
    fn selected_by_slow_start(&self) -> Option<Name> {
        let selected = self.all[self.warming_up?];
        let better = self.all.iter().filter(|candidate| candidate.rank() < selected.rank()).count();
        (better * 3 <= self.all.len() * 2).then(|| selected.name.clone())
    }

    /// The candidate of least cost among the untried ones, or among all if all were tried.
    fn best(&self) -> Option<Candidate<'_>> {
        let by_rank = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
            a.rank().partial_cmp(&b.rank()).expect("costs are finite: settings are, and divisors are clamped")
        };
        self.all.iter().min_by(by_rank).copied()
    }

    /// The candidates whose cost is at most `width` above that of `best`. All are untried if `best` is, or
    /// else tried.
    fn near_equal(&self, best: &Candidate<'_>, width: f64) -> Vec<Name> {
        let max_cost = best.cost + width;
        let near = self.all.iter().filter(|other| other.tried == best.tried && other.cost <= max_cost);
        near.map(|candidate| candidate.name.clone()).collect()
    }
}
