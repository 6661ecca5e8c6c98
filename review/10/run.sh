#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x build/umberhoist ] || { echo "build it first: the deploy build, then review/build-2.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
child=
cleanup() {
  [ -n "$child" ] && kill -TERM "$child" 2>/dev/null
  rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
export CASE_FOLDER="$folder" CASE_RECORD="$here/record.txt"
timeout -k 1 118 "$program" &
child=$!
wait "$child"
status=$?
child=
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
