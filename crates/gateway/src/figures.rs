//! The figures that operators read: what became of requests since the start of the process.

use crate::pool::PoolFigures;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum End {
    Succeeded,
    Declined,
    Aborted,
}

type PerClass = BTreeMap<String, u64>;

#[derive(Default)]
struct Ends {
    succeeded: PerClass,
    declined: PerClass,
    aborted: PerClass,
}

pub struct Figures {
    ends: RefCell<Ends>,
    outstanding: Cell<u64>,
}

/// The figures as they are told.
#[derive(Serialize)]
pub struct Report<'a> {
    pub succeeded: &'a PerClass,
    pub declined: &'a PerClass,
    pub aborted: &'a PerClass,
    pub forwards: u64,
    pub outstanding: u64,
    pub discovered: usize,
    pub ejected: usize,
    pub connections: &'a PoolFigures,
    pub list: ListAge,
}

/// The list in use.
#[derive(Serialize)]
pub struct ListAge {
    pub version: u64,
    /// Since discovery last told it or had nothing newer.
    pub age_ms: u64,
}

impl Figures {
    /// Every class is there from the start, at 0.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Rc<Self> {
        let zero: PerClass = classes.map(|c| (c.to_string(), 0)).collect();
        let ends = Ends { succeeded: zero.clone(), declined: zero.clone(), aborted: zero };
        Rc::new(Figures { ends: RefCell::new(ends), outstanding: Cell::new(0) })
    }

    /// A request has come whole.
    pub fn taken(self: &Rc<Self>, class: &str) -> Taken {
        self.outstanding.set(self.outstanding.get() + 1);
        Taken { figures: self.clone(), class: class.to_string(), end: End::Aborted }
    }

    pub fn json(
        &self,
        forwards: u64,
        discovered: usize,
        ejected: usize,
        connections: &PoolFigures,
        list: ListAge,
    ) -> serde_json::Result<Vec<u8>> {
        let ends = self.ends.borrow();
        serde_json::to_vec(&Report {
            succeeded: &ends.succeeded,
            declined: &ends.declined,
            aborted: &ends.aborted,
            forwards,
            outstanding: self.outstanding.get(),
            discovered,
            ejected,
            connections,
            list,
        })
    }
}

/// A request that has not ended. It is counted once, where this is dropped: as aborted unless said otherwise.
pub struct Taken {
    figures: Rc<Figures>,
    class: String,
    end: End,
}

impl Taken {
    /// How it ends, if nothing happens to it any more.
    pub fn ends(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let f = &self.figures;
        f.outstanding.set(f.outstanding.get() - 1);
        let mut ends = f.ends.borrow_mut();
        let counts = match self.end {
            End::Succeeded => &mut ends.succeeded,
            End::Declined => &mut ends.declined,
            End::Aborted => &mut ends.aborted,
        };
        if let Some(count) = counts.get_mut(&self.class) {
            *count += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::pool::Cause;

    #[test]
    fn each_request_is_counted_once_and_outstanding_until_then() {
        let figures = Figures::new(["look", "watch"].into_iter());
        let mut connections = PoolFigures { open: 4, idle: 1, opening: 2, peak: 6, ..PoolFigures::default() };
        connections.closed.insert(Cause::GivenUp, 3);
        let told = r#","connections":{"open":4,"idle":1,"opening":2,"peak":6,"opened":0,"failed":0,"reused":0,"waits":0,"waited_us":0,"closed":{"given_up":3}},"list":{"version":9,"age_ms":70}}"#;
        let text = || {
            String::from_utf8(
                figures.json(5, 3, 1, &connections, ListAge { version: 9, age_ms: 70 }).unwrap(),
            )
            .unwrap()
        };
        let mut served = figures.taken("look");
        let left = figures.taken("watch");
        assert_eq!(
            text(),
            r#"{"succeeded":{"look":0,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":0},"forwards":5,"outstanding":2,"discovered":3,"ejected":1"#.to_string()
                + told
        );
        served.ends(End::Succeeded);
        drop(served);
        drop(left);
        assert_eq!(
            text(),
            r#"{"succeeded":{"look":1,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":1},"forwards":5,"outstanding":0,"discovered":3,"ejected":1"#.to_string()
                + told
        );
    }
}
