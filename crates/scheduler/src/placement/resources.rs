//! Amounts of the three resources that workers have and tasks need.

/// Number of resources: processor, memory and GPUs.
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
    /// Zero of each resource.
    pub const ZERO: Resources = Resources { cpu: 0, mem_mb: 0, gpu: 0 };

    /// The amounts in the order processor, memory, GPUs.
    pub fn amounts(self) -> [u64; RESOURCE_COUNT] {
        [self.cpu, self.mem_mb, self.gpu]
    }

    /// The sum for each resource.
    pub fn plus(self, other: Resources) -> Resources {
        self.zip(other, u64::saturating_add)
    }

    /// The difference for each resource, at least zero.
    pub fn minus(self, other: Resources) -> Resources {
        self.zip(other, u64::saturating_sub)
    }

    /// Each amount multiplied by `count`.
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

    /// Whether each amount is at most that of `available`.
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpu <= available.cpu && self.mem_mb <= available.mem_mb && self.gpu <= available.gpu
    }

    /// How many times this amount fits in `available`, at most `limit`.
    pub fn times_in(self, available: Resources, limit: u64) -> u64 {
        let times = |need: u64, available: u64| available.checked_div(need).unwrap_or(u64::MAX);
        let processor = times(self.cpu, available.cpu);
        let memory = times(self.mem_mb, available.mem_mb);
        let gpus = times(self.gpu, available.gpu);
        processor.min(memory).min(gpus).min(limit)
    }

    /// This amount as a share of `total` for each resource, in the order processor, memory, GPUs. If
    /// `total` has nothing of a resource, the share is 0 if this amount has nothing of it either, otherwise
    /// infinity.
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
