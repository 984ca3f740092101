//! Conversion of resource amounts to their form in reports.

use admin::ResourceAmounts;

use crate::placement::Resources;

/// Converts resources to the amounts of a report.
pub(super) fn amounts_of(resources: Resources) -> ResourceAmounts {
    ResourceAmounts { cpu: resources.cpu, mem_mb: resources.mem_mb, gpu: resources.gpu }
}
