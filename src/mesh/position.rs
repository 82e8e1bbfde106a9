//! Order of the configurations that the operators write.
//!
//! Versions of the store do not order them: a store that comes back from an earlier copy loses writes and
//! gives their versions out again. The revision that the operators give a configuration is part of its
//! content, so it lasts. The era and the version only order writes with the same revision, and tell
//! whether two nodes have read the same write.

use crate::{
    names::Revision,
    store::{ObjectVersion, StoreEra},
};

/// Position of a configuration among all that the operators have written; the fields are compared in
/// their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Revision that the operators gave the configuration; it rises with each change.
    pub revision: Revision,
    /// Era of the store in which it was read.
    pub era: StoreEra,
    /// Version of the object in that era.
    pub version: ObjectVersion,
}
