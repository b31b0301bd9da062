#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$root/review/standin/bin/standin" ] || [ ! -x "$root/bin/dapplerouter" ] || [ -z "$run" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 5 115 "$root/review/standin/bin/standin" -case foreign -root "$root" -run "$run" -record "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
