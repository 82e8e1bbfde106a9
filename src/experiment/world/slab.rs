//! A slab with generations: the id of a removed entry does not match a later entry at the same
//! index.

/// Index of an entry in a slab, and its generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Id(pub u32, u32);

/// Entries with their generation; `free` has the indices of the removed ones.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Slab<T> {
    pub fn new() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }

    pub fn insert(&mut self, value: T) -> Id {
        match self.free.pop() {
            Some(index) => {
                let entry = &mut self.entries[index as usize];
                entry.1 = Some(value);
                Id(index, entry.0)
            }
            None => {
                self.entries.push((0, Some(value)));
                Id(u32::try_from(self.entries.len() - 1).expect("fewer entries than 2^32"), 0)
            }
        }
    }

    pub fn get(&mut self, Id(index, generation): Id) -> Option<&mut T> {
        let entry = &mut self.entries[index as usize];
        if entry.0 != generation { None } else { entry.1.as_mut() }
    }

    pub fn remove(&mut self, id: Id) -> Option<T> {
        self.get(id)?;
        let entry = &mut self.entries[id.0 as usize];
        entry.0 = entry.0.wrapping_add(1);
        self.free.push(id.0);
        entry.1.take()
    }

    /// Returns the id of the present entry at an index.
    pub fn id_at(&self, index: u32) -> Id {
        Id(index, self.entries[index as usize].0)
    }

    pub fn ids(&self) -> Vec<Id> {
        let live = self.entries.iter().enumerate().filter(|(_, entry)| entry.1.is_some());
        live.map(|(index, entry)| Id(index as u32, entry.0)).collect()
    }
}
