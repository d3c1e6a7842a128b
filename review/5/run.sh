#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] || exit 2
target/review/stand unframed review/5
end=$?
[ $end -le 1 ] || end=2
exit $end
