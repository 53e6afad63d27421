#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. LOGS=1 adds the logs of the instances to record.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/ragwortlbd ] && [ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 pages "$here/record.txt"
