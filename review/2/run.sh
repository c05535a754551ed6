#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/waxwing-platform ] || exit 2
exec target/review/standins replaced "$here/record.txt"
