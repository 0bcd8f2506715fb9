#!/usr/bin/env bash
# Runs one case: `standin/run.sh FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 it is the same without the disruption.
set -uo pipefail
folder=$(realpath "$1")
root=$(realpath "$folder/../..")
program="$root/review/build/case$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/build/rushhill" ]; then
  echo "not built: the build of the deploy file and review/build.sh come first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$program" "$root" "$temporary" "$folder/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
echo "case $(basename "$folder"), TROUBLE=${TROUBLE:-1}: exit $status"
exit "$status"
