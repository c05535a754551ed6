#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/release/waxwing-platform ] && [ -x target/review-2/standins ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review-2/standins late-order "$here/record.txt"
