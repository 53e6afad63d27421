/*!
Cells: groups of instances in a large fleet that place their flows on a share of
the targets.

In a large fleet each instance sees few of the flows. Reports from all peers
would be too many or too old, and instances that place flows by old reports all
choose the targets that were free then. So a large fleet is divided into cells
of about [`CELL_INSTANCES`] instances, each with a share of every service's
targets. Within a cell, reports are as recent as in a small fleet, and their
number does not grow with the fleet.

Instances and targets are sorted by the hash of their names and cut into ranges
of equal length. Instances with the same membership compute the same cells, and
a member that joins or leaves moves few others. While memberships differ, cells
overlap; that makes load reports less accurate but breaks no flow, as any
instance may use any target.

# Example

```
use ragwortlb::relay::cells::Cell;

let cell = Cell::of(30, 60);
assert_eq!(cell, Cell { index: 5, count: 10 });
assert_eq!(cell.target_range(100), 50..60);
assert_eq!(Cell::of(3, 7), Cell { index: 0, count: 1 }, "a small fleet is one cell");
```
*/

use std::ops::Range;

/// Approximate number of instances in a cell. A cell with its targets is about as large
/// as the users' small sites.
pub const CELL_INSTANCES: usize = 6;

/// Largest fleet that forms a single cell: the users' small sites with all spare
/// machines.
const MAX_SINGLE_CELL_INSTANCES: usize = 13;

/// Fewest targets of a service in a cell's share, so that some are left when others fail.
const MIN_TARGETS: usize = 3;

/// Cell of a fleet, by its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Index among the cells.
    pub index: usize,
    /// Number of cells.
    pub count: usize,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { index: 0, count: 1 }
    }
}

impl Cell {
    /// Cell of the instance at a rank in a fleet of the given size.
    pub fn of(rank: usize, instances: usize) -> Cell {
        if instances <= MAX_SINGLE_CELL_INSTANCES {
            return Cell::default();
        }
        let count = instances / CELL_INSTANCES;
        Cell { index: rank * count / instances, count }
    }

    /// Range of ranks, among a service's targets, that this cell uses. Several cells share
    /// a range if there are few targets.
    pub fn target_range(self, targets: usize) -> Range<usize> {
        let parts = self.parts(targets);
        let part = self.index * parts / self.count;
        let start = |part: usize| (part * targets).div_ceil(parts);
        start(part)..start(part + 1)
    }

    /// Position of this cell among those that use the same range of targets, and their number.
    pub fn sharing(self, targets: usize) -> (usize, usize) {
        let parts = self.parts(targets);
        let part = |index: usize| index * parts / self.count;
        let shares_range = |index: &usize| part(*index) == part(self.index);
        let position = (0..self.index).filter(shares_range).count();
        (position, (0..self.count).filter(shares_range).count())
    }

    fn parts(self, targets: usize) -> usize {
        (targets / MIN_TARGETS).clamp(1, self.count)
    }
}
