/*!
Cells: parts of a large fleet that place their flows on a part of the targets.

The load that this answers: many instances that each see few of the flows.
Reports to all of them are either too many or older than a flow is long, and
instances that place by old reports all choose the targets that were free then.
So a large fleet is parted into cells of about [`CELL_INSTANCES`] instances, each
with its own part of every service's targets. Within a cell the reports are as
fresh as in a small fleet, and their number does not grow with the fleet.

Instances and targets are ranked by hashed names and cut into runs of equal
length, so that everyone computes the same cells from the same view, and one
that comes or goes moves few others. Views that differ for a moment make cells
overlap, which costs freshness and nothing else: any instance may use any
target.

# Example

```
use ragwortlb::relay::cells::Cell;

let cell = Cell::of(30, 60);
assert_eq!(cell, Cell { index: 5, count: 10 });
assert_eq!(cell.run(100), 50..60);
assert_eq!(Cell::of(3, 7), Cell { index: 0, count: 1 }, "a small fleet is one cell");
```
*/

use std::ops::Range;

/// Instances of a cell, about: with their targets about as many as the users' small
/// sites have.
pub const CELL_INSTANCES: usize = 6;

/// Most instances of a fleet that is one cell: the users' small sites with all spare
/// machines.
const ONE_CELL: usize = 13;

/// Fewest targets of a service in a cell's part, so that some are left if others fail.
const LEAST_TARGETS: usize = 3;

/// Cell of a fleet.
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
    /// Cell of the instance of a rank in a fleet of so many instances.
    pub fn of(rank: usize, instances: usize) -> Cell {
        if instances <= ONE_CELL {
            return Cell::default();
        }
        let count = instances / CELL_INSTANCES;
        Cell { index: rank * count / instances, count }
    }

    /// Ranks of a service's targets that this cell uses, of so many. Several cells share
    /// a part if there are few targets.
    pub fn run(self, targets: usize) -> Range<usize> {
        let parts = (targets / LEAST_TARGETS).clamp(1, self.count);
        let part = self.index * parts / self.count;
        let start = |part: usize| (part * targets).div_ceil(parts);
        start(part)..start(part + 1)
    }
}
