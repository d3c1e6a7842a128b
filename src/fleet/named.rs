//! A list of named rows with an index by name.
//!
//! Configurations hold tens of thousands of models and adapters, and placement looks them up by name all the
//! time. The index is built at the first lookup and dropped by any change of the list.
#![deny(missing_docs)]

use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};
use foldhash::fast::FixedState;
use hashbrown::HashTable;
use std::fmt;
use std::hash::BuildHasher;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, OnceLock};

/// A row that has a name.
pub trait Named {
    /// The name, unique in its list.
    fn name(&self) -> &Name;
}

/// A `Vec` of named rows, and an index by name.
#[derive(Clone, Encode, Decode)]
pub struct NamedList<T> {
    rows: Vec<T>,
    #[bitcode(skip)]
    by_name: ByName,
}

/// The positions of the rows by name; of equal names the first.
#[derive(Clone, Default)]
struct ByName(OnceLock<Arc<HashTable<u32>>>);

fn hash(name: &Name) -> u64 {
    FixedState::default().hash_one(name)
}

impl<T: Named> NamedList<T> {
    /// The first row of that name.
    pub fn named(&self, name: &Name) -> Option<&T> {
        let index = self.by_name.0.get_or_init(|| Arc::new(self.index()));
        let position = index.find(hash(name), |position| self.name_at(*position) == name)?;
        self.rows.get(*position as usize)
    }

    fn index(&self) -> HashTable<u32> {
        let mut index = HashTable::with_capacity(self.rows.len());
        for position in 0..self.rows.len() as u32 {
            let name = self.name_at(position);
            let is_same = |other: &u32| self.name_at(*other) == name;
            index.entry(hash(name), is_same, |other| hash(self.name_at(*other))).or_insert(position);
        }
        index
    }

    fn name_at(&self, position: u32) -> &Name {
        self.rows[position as usize].name()
    }
}

impl<T> Default for NamedList<T> {
    fn default() -> NamedList<T> {
        Vec::new().into()
    }
}

impl<T> From<Vec<T>> for NamedList<T> {
    fn from(rows: Vec<T>) -> NamedList<T> {
        NamedList { rows, by_name: ByName::default() }
    }
}

impl<T> Deref for NamedList<T> {
    type Target = Vec<T>;

    fn deref(&self) -> &Vec<T> {
        &self.rows
    }
}

impl<T> DerefMut for NamedList<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        self.by_name = ByName::default();
        &mut self.rows
    }
}

impl<'a, T> IntoIterator for &'a NamedList<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.rows.iter()
    }
}

impl<T: PartialEq> PartialEq for NamedList<T> {
    fn eq(&self, other: &NamedList<T>) -> bool {
        self.rows == other.rows
    }
}

impl<T: fmt::Debug> fmt::Debug for NamedList<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.rows.fmt(f)
    }
}
