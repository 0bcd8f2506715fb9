#!/usr/bin/env bash
# Runs the case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the disruption is left out.
set -uo pipefail
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
record="$folder/record.txt"
program="$root/review/build/case2"
if [ ! -x "$program" ] || [ ! -x "$root/build/rushhill" ]; then
  echo "not built: the build of the deploy file and review/build.sh come first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$program" "$root" "$temporary" "$record" "$trouble"
status=$?
[ "$status" -le 1 ] || status=2
echo "case 2, TROUBLE=$trouble: exit $status"
exit "$status"
