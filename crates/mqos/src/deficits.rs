//! Deficit counters and round-robin pointers.

/// The deficit counters and round-robin pointers of the sub-schedulers, one sub-scheduler for each of `R`
/// resources. A counter holds how much of a resource a plan may still take before its next quantum; a pointer
/// holds the plan whose turn it is.
///
/// # Panics
///
/// All methods panic for a plan or resource that is out of range.
#[derive(Clone, Debug)]
pub struct DeficitRoundRobin<const R: usize> {
    counters: Vec<[f64; R]>,
    pointers: [usize; R],
}

impl<const R: usize> DeficitRoundRobin<R> {
    /// Counters at zero and pointers at the first plan.
    pub fn new(plans: usize) -> Self {
        DeficitRoundRobin { counters: vec![[0.0; R]; plans], pointers: [0; R] }
    }

    /// The plan under the pointer of a resource.
    pub fn plan(&self, resource: usize) -> usize {
        self.pointers[resource]
    }

    /// Moves the pointer of a resource to the next plan. Returns whether it wrapped.
    pub fn advance(&mut self, resource: usize) -> bool {
        self.pointers[resource] = (self.pointers[resource] + 1) % self.counters.len();
        self.pointers[resource] == 0
    }

    /// Whether the plan's counters cover `need` in every resource.
    pub fn covers(&self, plan: usize, need: &[f64; R]) -> bool {
        self.counters[plan].iter().zip(need).all(|(counter, need)| counter >= need)
    }

    /// Takes `need` from the plan's counters in every resource, whichever sub-scheduler sends the item.
    pub fn charge(&mut self, plan: usize, need: &[f64; R]) {
        self.counters[plan].iter_mut().zip(need).for_each(|(counter, need)| *counter -= need);
    }

    /// Adds a quantum to a plan's counter of one resource, up to at most `max`.
    pub fn gain(&mut self, resource: usize, plan: usize, quantum: f64, max: f64) {
        let counter = &mut self.counters[plan][resource];
        *counter = (*counter + quantum).min(max);
    }

    /// The plan's counters in all resources.
    pub fn counters(&self, plan: usize) -> &[f64; R] {
        &self.counters[plan]
    }
}
