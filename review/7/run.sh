#!/bin/sh
# Case 7: see claim.txt. Exit code 1: rule broken, 0: rule held, 2: could not run. TROUBLE=0: no disruption.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] && [ -x "$root/bin/capersail" ] && [ -x "$root/bin/standin2" ] || exit 2
exec "$root/bin/standin2" upgrade -root "$root" -run "$run" -record "$here/record.txt"
