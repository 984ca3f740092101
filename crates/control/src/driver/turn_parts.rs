//! Which part of a turn an event counts for.

use crate::events::DriverEvent;
use crate::metrics::turns::TurnPart;
use messages::peer::mod_PeerFrame::OneOfbody;

/// The part of a turn that handles an event.
pub(super) fn part_of(event: &DriverEvent) -> TurnPart {
    match event {
        DriverEvent::Frame { body: OneOfbody::request(_), .. } => TurnPart::Requests,
        DriverEvent::CallFinished { .. } => TurnPart::WorkerCalls,
        DriverEvent::Instances(_) | DriverEvent::InstancesUnchanged => TurnPart::Instances,
        _ => TurnPart::OtherEvents,
    }
}
