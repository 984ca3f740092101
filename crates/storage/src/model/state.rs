//! Names and files of a simulated directory, and the faults injected into it.

use std::collections::BTreeMap;
use std::io;

use fastrand::Rng;

use crate::model::inode::Inode;

type InodeNumber = usize;

/// An open file.
#[derive(Debug, Clone, Copy)]
pub(super) struct Handle {
    inode: InodeNumber,
    /// Incarnation of the process that opened the file.
    incarnation: u64,
}

/// State of the directory.
///
/// `names` are the names that the process sees, `durable_names` the names as of the last sync of the
/// directory, and `changed_names` the changes since that sync. An inode is kept as long as any of these three
/// refers to it.
#[derive(Debug)]
pub(super) struct State {
    rng: Rng,
    inodes: BTreeMap<InodeNumber, Inode>,
    next_inode: InodeNumber,
    names: BTreeMap<String, InodeNumber>,
    durable_names: BTreeMap<String, InodeNumber>,
    /// Successive inodes of each name that changed since the directory was synced; `None` stands for a
    /// removal.
    changed_names: BTreeMap<String, Vec<Option<InodeNumber>>>,
    /// Incarnation of the current process.
    incarnation: u64,
    /// Number of changing operations so far.
    operations: u64,
    /// Value of `operations` at which the next changing operation halts.
    halt_at: Option<u64>,
    /// Whether an operation was halted. All operations except reads then fail until a kill or a power loss.
    halted: bool,
    /// Number of syncs that succeed before `failing_syncs` take effect.
    successful_syncs: u64,
    /// Number of syncs that fail afterwards.
    failing_syncs: u64,
    /// Maximum total size of the files in bytes.
    capacity: Option<u64>,
}

/// How far a changing operation proceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Completes,
    /// The process or the power supply stops in the middle of the operation.
    Halts,
}

impl State {
    pub(super) fn new(seed: u64) -> Self {
        State {
            rng: Rng::with_seed(seed),
            inodes: BTreeMap::new(),
            next_inode: 0,
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            changed_names: BTreeMap::new(),
            incarnation: 0,
            operations: 0,
            halt_at: None,
            halted: false,
            successful_syncs: 0,
            failing_syncs: 0,
            capacity: None,
        }
    }

    pub(super) fn halt_after(&mut self, operations: u64) {
        self.halt_at = Some(self.operations.saturating_add(operations));
    }

    pub(super) fn is_halted(&self) -> bool {
        self.halted
    }

    pub(super) fn operations(&self) -> u64 {
        self.operations
    }

    pub(super) fn fail_syncs(&mut self, successes: u64, failures: u64) {
        self.successful_syncs = successes;
        self.failing_syncs = failures;
    }

    pub(super) fn set_capacity(&mut self, capacity: Option<u64>) {
        self.capacity = capacity;
    }

    pub(super) fn used_bytes(&self) -> u64 {
        let named = self.names.values().filter_map(|number| self.inodes.get(number));
        named.map(|inode| inode.content().len() as u64).sum()
    }

    pub(super) fn overwrite(&mut self, name: &str, content: &[u8]) {
        let number = self.add_inode(Inode::durable(content));
        self.names.insert(name.to_owned(), number);
        self.durable_names.insert(name.to_owned(), number);
        self.changed_names.remove(name);
        self.drop_unreachable();
    }

    pub(super) fn erase(&mut self) {
        self.names.clear();
        self.durable_names.clear();
        self.changed_names.clear();
        self.inodes.clear();
        self.restart();
    }

    pub(super) fn kill(&mut self) {
        self.restart();
        self.drop_unreachable();
    }

    pub(super) fn lose_power(&mut self) {
        const LOSE_ALL_ONE_IN: u8 = 4;
        let lose_all = self.rng.u8(0..LOSE_ALL_ONE_IN) == 0;
        self.choose_surviving_names(lose_all);
        for inode in self.inodes.values_mut() {
            inode.lose_power(&mut self.rng, lose_all);
        }
        self.restart();
        self.drop_unreachable();
    }

    /// Chooses randomly for each changed name its durable state or one of its later states. `lose_all` keeps
    /// the durable states.
    fn choose_surviving_names(&mut self, lose_all: bool) {
        for (name, states) in std::mem::take(&mut self.changed_names) {
            let chosen = self.rng.usize(0..=states.len());
            if lose_all || chosen == states.len() {
                continue;
            }
            match states[chosen] {
                Some(number) => self.durable_names.insert(name, number),
                None => self.durable_names.remove(&name),
            };
        }
        self.names.clone_from(&self.durable_names);
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.halt_at = None;
        self.halted = false;
    }

    fn add_inode(&mut self, inode: Inode) -> InodeNumber {
        let number = self.next_inode;
        self.next_inode += 1;
        self.inodes.insert(number, inode);
        number
    }

    /// Removes inodes that no name refers to.
    fn drop_unreachable(&mut self) {
        let names = self.names.values();
        let durable = self.durable_names.values();
        let changed = self.changed_names.values().flatten().flatten();
        let reachable: Vec<InodeNumber> = names.chain(durable).chain(changed).copied().collect();
        self.inodes.retain(|number, _| reachable.contains(number));
    }

    fn change_name(&mut self, name: &str, to: Option<InodeNumber>) {
        match to {
            Some(number) => self.names.insert(name.to_owned(), number),
            None => self.names.remove(name),
        };
        self.changed_names.entry(name.to_owned()).or_default().push(to);
    }

    /// Counts an operation and determines how far it proceeds.
    fn begin(&mut self) -> io::Result<Progress> {
        if self.halted {
            return Err(halted());
        }
        let halts = self.halt_at == Some(self.operations);
        self.operations += 1;
        self.halted = halts;
        Ok(if halts { Progress::Halts } else { Progress::Completes })
    }

    /// Decides whether an operation without intermediate states takes effect. A halted operation takes effect
    /// at random.
    fn takes_effect(&mut self, progress: Progress) -> bool {
        progress == Progress::Completes || self.rng.bool()
    }

    fn inode(&mut self, handle: Handle) -> io::Result<&mut Inode> {
        if handle.incarnation != self.incarnation {
            return Err(io::Error::other("file of an earlier incarnation of the process"));
        }
        self.inodes.get_mut(&handle.inode).ok_or_else(not_found)
    }

    fn find(&self, name: &str) -> io::Result<InodeNumber> {
        self.names.get(name).copied().ok_or_else(not_found)
    }

    pub(super) fn create(&mut self, name: &str) -> io::Result<Handle> {
        if self.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let progress = self.begin()?;
        if !self.takes_effect(progress) {
            return Err(halted());
        }
        let inode = self.add_inode(Inode::default());
        self.change_name(name, Some(inode));
        finish(progress)?;
        Ok(Handle { inode, incarnation: self.incarnation })
    }

    pub(super) fn open(&self, name: &str) -> io::Result<Handle> {
        if self.halted {
            return Err(halted());
        }
        Ok(Handle { inode: self.find(name)?, incarnation: self.incarnation })
    }

    pub(super) fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let number = self.find(name)?;
        let inode = self.inodes.get(&number).ok_or_else(not_found)?;
        Ok(inode.content().to_vec())
    }

    pub(super) fn append(&mut self, handle: Handle, bytes: &[u8]) -> io::Result<()> {
        let progress = self.begin()?;
        let free = self.capacity.map_or(u64::MAX, |capacity| capacity.saturating_sub(self.used_bytes()));
        let fitting = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX));
        let written = match progress {
            Progress::Completes => fitting,
            Progress::Halts => self.rng.usize(0..=fitting),
        };
        self.inode(handle)?.append(&bytes[..written]);
        finish(progress)?;
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    pub(super) fn sync(&mut self, handle: Handle) -> io::Result<()> {
        let progress = self.begin()?;
        self.fail_if_injected()?;
        if self.takes_effect(progress) {
            self.inode(handle)?.sync();
        }
        finish(progress)
    }

    pub(super) fn truncate(&mut self, handle: Handle, length: u64) -> io::Result<()> {
        let progress = self.begin()?;
        let length = usize::try_from(length).map_err(|_| io::Error::from(io::ErrorKind::FileTooLarge))?;
        if self.takes_effect(progress) {
            self.inode(handle)?.set_length(length);
        }
        finish(progress)
    }

    pub(super) fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let number = self.find(from)?;
        let progress = self.begin()?;
        if self.takes_effect(progress) {
            self.change_name(from, None);
            self.change_name(to, Some(number));
        }
        finish(progress)
    }

    pub(super) fn remove(&mut self, name: &str) -> io::Result<()> {
        self.find(name)?;
        let progress = self.begin()?;
        if self.takes_effect(progress) {
            self.change_name(name, None);
        }
        finish(progress)
    }

    pub(super) fn list(&self) -> io::Result<Vec<String>> {
        if self.halted {
            return Err(halted());
        }
        Ok(self.names.keys().cloned().collect())
    }

    pub(super) fn sync_directory(&mut self) -> io::Result<()> {
        let progress = self.begin()?;
        self.fail_if_injected()?;
        if self.takes_effect(progress) {
            self.durable_names.clone_from(&self.names);
            self.changed_names.clear();
            self.drop_unreachable();
        }
        finish(progress)
    }

    fn fail_if_injected(&mut self) -> io::Result<()> {
        if self.failing_syncs == 0 {
            return Ok(());
        }
        if self.successful_syncs > 0 {
            self.successful_syncs -= 1;
            return Ok(());
        }
        self.failing_syncs -= 1;
        Err(io::Error::other("sync failed"))
    }
}

fn finish(progress: Progress) -> io::Result<()> {
    match progress {
        Progress::Completes => Ok(()),
        Progress::Halts => Err(halted()),
    }
}

fn halted() -> io::Error {
    io::Error::other("the process or the power stopped")
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}
