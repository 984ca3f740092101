//! Amounts of the three resources that tasks need and workers have.

/// Resources that are counted: processor, memory and GPUs.
pub const RESOURCE_COUNT: usize = 3;

/// An amount of each resource. All arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// Whole GPUs.
    pub gpu: u64,
}

impl Resources {
    /// Nothing of any resource.
    pub const ZERO: Resources = Resources { cpu: 0, mem_mb: 0, gpu: 0 };

    /// The amounts: processor, memory, GPUs.
    pub fn amounts(self) -> [u64; RESOURCE_COUNT] {
        [self.cpu, self.mem_mb, self.gpu]
    }

    /// The sum in each resource.
    pub fn plus(self, other: Resources) -> Resources {
        self.zip(other, u64::saturating_add)
    }

    /// The difference in each resource, zero at least.
    pub fn minus(self, other: Resources) -> Resources {
        self.zip(other, u64::saturating_sub)
    }

    /// This amount so many times.
    pub fn times(self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        self.zip(other, u64::max)
    }

    /// The smaller amount of each resource.
    pub fn min(self, other: Resources) -> Resources {
        self.zip(other, u64::min)
    }

    /// Whether no resource exceeds what `available` has of it.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpu <= available.cpu && self.mem_mb <= available.mem_mb && self.gpu <= available.gpu
    }

    /// How many times this amount fits into `available`, at most `limit`.
    pub fn times_in(self, available: Resources, limit: u64) -> u64 {
        let times = |need: u64, available: u64| available.checked_div(need).unwrap_or(u64::MAX);
        let processor = times(self.cpu, available.cpu);
        let memory = times(self.mem_mb, available.mem_mb);
        let gpus = times(self.gpu, available.gpu);
        processor.min(memory).min(gpus).min(limit)
    }

    /// What share of `total` this is, resource by resource: processor, memory, GPUs. A resource of which the
    /// total is nothing gives 0 where this has nothing of it, else infinity.
    pub fn shares_of(self, total: Resources) -> [f64; RESOURCE_COUNT] {
        let share = |part: u64, total: u64| match (part, total) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, total) => part as f64 / total as f64,
        };
        [share(self.cpu, total.cpu), share(self.mem_mb, total.mem_mb), share(self.gpu, total.gpu)]
    }

    fn zip(self, other: Resources, operation: fn(u64, u64) -> u64) -> Resources {
        Resources {
            cpu: operation(self.cpu, other.cpu),
            mem_mb: operation(self.mem_mb, other.mem_mb),
            gpu: operation(self.gpu, other.gpu),
        }
    }
}
