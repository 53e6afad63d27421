/*!
Revisions of the platform's store, in the order in which they came into effect.

The store counts its writes. After a failure it may come back from a backup that is
some seconds old: it then counts on from the backup's last write, so numbers are used
again for other writes. Each such return begins a new *era*, and every response names the
era. So a revision is ordered by its era first.

# Example

```
use ragwortlb::relay::revision::Revision;

let before = Revision::new(1, 990);
let after = Revision::new(2, 905);
assert!(after > before);
assert_eq!(Revision::from(7), Revision::new(0, 7), "a store without eras");
```
*/

use std::fmt;

use serde::{Deserialize, Serialize};

/// Revision of the store. The default one precedes all others and stands for no state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Revision {
    /// Era of the store, zero for a store without eras.
    pub era: u32,
    /// Number of the write.
    pub number: u64,
}

impl Revision {
    /// Precedes all revisions of the store.
    pub const NONE: Revision = Revision { era: 0, number: 0 };

    /// Revision of an era.
    pub fn new(era: u32, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Whether this is a revision of the store.
    pub fn is_some(self) -> bool {
        self != Revision::NONE
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}/{}", self.number),
        }
    }
}
