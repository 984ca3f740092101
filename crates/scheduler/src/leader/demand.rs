//! Resources and constraints that the tasks of a step demand of a worker.

use messages::job::Stage;

use crate::ids::StepKey;
use crate::placement::{Demand, Resources, WorkerKey};

/// Returns the resources that one task needs.
pub(super) fn need_of(stage: &Stage) -> Resources {
    Resources { cpu: stage.cpu, mem_mb: stage.mem_mb, gpu: stage.gpu }
}

/// Returns the demand that a task of the step makes on a worker.
pub(super) fn demand_of<'a>(step: StepKey, stage: &'a Stage, avoid: &'a [WorkerKey]) -> Demand<'a> {
    Demand {
        need: need_of(stage),
        constraint: (!stage.constraint.is_empty()).then_some(stage.constraint.as_str()),
        affinity: (!stage.affinity.is_empty()).then_some(stage.affinity.as_str()),
        anti_affinity: (stage.anti_affinity > 0).then_some(stage.anti_affinity),
        step,
        rack_local: stage.rack_local,
        avoid,
        tasks_to_pack: 0,
    }
}
