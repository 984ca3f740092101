//! Hashes events. The contents of frames are hashed when the frames are sent.

use super::{history, worker_calls, DayDigest};
use crate::world::{Event, Intent};

/// Hashes an event.
pub(super) fn event(digest: &mut DayDigest, event: &Event) {
    match event {
        Event::CoreStarts { machine, power } => digest.numbers(&[1, *machine as u64, (*power).into()]),
        Event::CoreWakes { machine, incarnation, generation } => {
            digest.numbers(&[2, *machine as u64, (*incarnation).into(), *generation]);
        }
        Event::CoreFrame { machine, from, .. } => digest.numbers(&[3, *machine as u64, *from as u64]),
        Event::PeerLost { machine, incarnation, lost } => {
            digest.numbers(&[4, *machine as u64, (*incarnation).into(), *lost as u64]);
        }
        Event::PeerRefused { machine, incarnation, refused } => {
            digest.numbers(&[5, *machine as u64, (*incarnation).into(), *refused as u64]);
        }
        Event::CoreFreezes { machine, until } => digest.numbers(&[6, *machine as u64, *until]),
        Event::CoreLeaves { machine, incarnation } => {
            digest.numbers(&[7, *machine as u64, (*incarnation).into()]);
        }
        Event::DiskDone { machine, incarnation } => {
            digest.numbers(&[8, *machine as u64, (*incarnation).into()]);
        }
        Event::GraceEnds { machine, incarnation } => {
            digest.numbers(&[9, *machine as u64, (*incarnation).into()]);
        }
        Event::PowerFails { machine, incarnation, wipe, lasts } => {
            digest.numbers(&[10, *machine as u64, (*incarnation).into(), u64::from(*wipe), *lasts]);
        }
        Event::EdgeStarts { .. }
        | Event::EdgeWakes { .. }
        | Event::EdgeConnects { .. }
        | Event::EdgeConnected { .. }
        | Event::EdgeFrame { .. }
        | Event::ToEdge { .. }
        | Event::EdgeHungUp { .. }
        | Event::CoreHungUp { .. }
        | Event::ReadinessAsked => edge_event(digest, event),
        Event::JobComes { .. }
        | Event::ClientSends { .. }
        | Event::ClientArrives { .. }
        | Event::ClientAnswered { .. }
        | Event::ClientLeaves { .. }
        | Event::ClientCounts { .. }
        | Event::FinalQuestions => client_event(digest, event),
        Event::CallArrives { .. }
        | Event::CallAnswered { .. }
        | Event::FleetWakes { .. }
        | Event::ListAsked { .. }
        | Event::ListArrives { .. }
        | Event::WorkerBoots { .. }
        | Event::WorkerLeaves { .. }
        | Event::WorkerUnlisted { .. } => worker_event(digest, event),
        _ => operator_event(digest, event),
    }
}

fn edge_event(digest: &mut DayDigest, event: &Event) {
    match event {
        Event::EdgeStarts { edge } => digest.numbers(&[20, *edge as u64]),
        Event::EdgeWakes { edge, incarnation, generation } => {
            digest.numbers(&[21, *edge as u64, (*incarnation).into(), *generation]);
        }
        Event::EdgeConnects { connection } => digest.numbers(&[22, *connection as u64]),
        Event::EdgeConnected { connection, stands } => {
            digest.numbers(&[23, *connection as u64, u64::from(*stands)]);
        }
        Event::EdgeFrame { connection, .. } => digest.numbers(&[24, *connection as u64]),
        Event::ToEdge { connection, .. } => digest.numbers(&[25, *connection as u64]),
        Event::EdgeHungUp { connection } => digest.numbers(&[26, *connection as u64]),
        Event::CoreHungUp { connection } => digest.numbers(&[27, *connection as u64]),
        // `ReadinessAsked`.
        _ => digest.number(28),
    }
}

fn client_event(digest: &mut DayDigest, event: &Event) {
    match event {
        Event::JobComes { job } => digest.numbers(&[40, *job as u64]),
        Event::ClientSends { job, intent } => {
            let intent = match intent {
                Intent::Submit => 0,
                Intent::Read => 1,
                Intent::Cancel => 2,
            };
            digest.numbers(&[41, *job, intent]);
        }
        Event::ClientArrives { call, edge_incarnation } => {
            digest.numbers(&[42, *call as u64, (*edge_incarnation).into()]);
        }
        Event::ClientAnswered { call, answer } => {
            digest.numbers(&[43, *call as u64]);
            history::answer(digest, answer);
        }
        Event::ClientLeaves { call } => digest.numbers(&[44, *call as u64]),
        Event::ClientCounts { prefix } => {
            digest.number(45);
            digest.text(prefix);
        }
        // `FinalQuestions`.
        _ => digest.number(46),
    }
}

fn worker_event(digest: &mut DayDigest, event: &Event) {
    match event {
        Event::CallArrives { call } => digest.numbers(&[60, *call]),
        Event::CallAnswered { call, outcome } => {
            digest.numbers(&[61, *call]);
            worker_calls::outcome(digest, outcome);
        }
        Event::FleetWakes { at } => digest.numbers(&[62, *at]),
        Event::ListAsked { machine, incarnation, term } => {
            digest.numbers(&[63, *machine as u64, (*incarnation).into(), *term]);
        }
        Event::ListArrives { machine, incarnation, term, version } => {
            digest.numbers(&[64, *machine as u64, (*incarnation).into(), *term]);
            digest.optional(version.map(|version| version as u64));
        }
        Event::WorkerBoots { worker } => digest.numbers(&[65, *worker as u64]),
        Event::WorkerLeaves { worker } => digest.numbers(&[66, *worker as u64]),
        Event::WorkerUnlisted { instance } => {
            digest.number(67);
            digest.text(instance);
        }
        _ => digest.number(68),
    }
}

fn operator_event(digest: &mut DayDigest, event: &Event) {
    match event {
        Event::OperatorSends { order } => digest.numbers(&[80, *order as u64]),
        Event::OperatorArrives { exchange } => digest.numbers(&[81, *exchange as u64]),
        // The answer was hashed when the core process gave it.
        Event::OperatorAnswered { exchange, .. } => digest.numbers(&[82, *exchange as u64]),
        Event::OperatorGivesUp { exchange } => digest.numbers(&[83, *exchange as u64]),
        Event::ReadBack => digest.number(84),
        Event::OperatorQueries => digest.number(85),
        Event::FaultBegins { fault } => digest.numbers(&[86, *fault as u64]),
        Event::FaultEnds { fault, touched } => {
            digest.numbers(&[87, *fault as u64]);
            digest.each(touched, |digest, one| digest.number(*one as u64));
        }
        Event::PartitionEnds => digest.number(88),
        Event::ChecksIdle => digest.number(89),
        Event::FirstConfiguration => digest.number(90),
        Event::Closing => digest.number(91),
        // All other events are hashed above.
        _ => digest.number(92),
    }
}
