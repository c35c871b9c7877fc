#!/usr/bin/env bash
# Plays a case: case.sh FOLDER NAME [FLAG...]. With TROUBLE=0 without its disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)" || exit 2
folder="$(cd "$1" && pwd)" || exit 2
program="$root/review/standin/target/standin"
for needed in "$program" "$root/target/tarragondeal-node"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file, then review/build.sh" >&2
    exit 2
  fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
"$program" -case "$2" -root "$root" -record "$folder/record.txt" -trouble="$trouble" "${@:3}"
code=$?
if [ "$code" -gt 1 ]; then code=2; fi
exit "$code"
