#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec java -cp review/stand-ins-2/target/classes-2 review.CaseMain 10 review/10
