#!/bin/sh
# Plays a trial of the report by its name: drain, unmarked, stuck, bound or window. They are no cases. The exit codes are those of a case.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml")
timeout -k 5 115 "$here/standin/bin/standin" -case "$1" -root "$root" -run "$run" -record "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
