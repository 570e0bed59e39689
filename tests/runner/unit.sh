#!/usr/bin/env bash
# Runs all unit tests in three lanes side by side, prints what each has said, and fails if one has failed. Tests in real
# time, on loopback, share a lane, so that they do not disturb each other.
set -uo pipefail
cd "$(dirname "$0")/../.."

declare -A patterns=(
  [virtual]='^(sim|model)/.*\.test\.js$'
  [loopback]='^(platform|router)/.*\.test\.js$'
  [rest]='^(?!sim/|model/|platform/|router/).*\.test\.js$'
)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
declare -A lanes=()
for lane in "${!patterns[@]}"; do
  node dist/tests/runner/main.js "${patterns[$lane]}" >"$folder/$lane" 2>&1 &
  lanes[$lane]=$!
done
failed=0
for lane in "${!lanes[@]}"; do
  wait "${lanes[$lane]}" || failed=$((failed + 1))
  printf '\n== %s ==\n' "$lane"
  cat "$folder/$lane"
done
printf '\n%s of 3 lanes failed\n' "$failed"
[ "$failed" -eq 0 ]
