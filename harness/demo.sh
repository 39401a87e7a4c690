#!/usr/bin/env bash
# Starts the processes of the demonstration meshes, drives the meshes and stops the
# processes. Both deployments have their real number of services, failure domains and
# servers, but run on one machine, without the latency between failure domains.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
pids=()

stop() {
  status=$?
  if [ ${#pids[@]} -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  if [ "$status" -eq 0 ]; then
    rm -rf "$dir"
  else
    echo "demo: failed; logs are in $dir/logs" >&2
  fi
}
trap stop EXIT

bin/harness/demo generate "$dir"
mkdir "$dir/logs"
while IFS=$'\t' read -r name command; do
  # shellcheck disable=SC2086 # No argument of the command contains a space.
  $command > "$dir/logs/$name.log" 2>&1 &
  pids+=($!)
done < "$dir/processes.tsv"
bin/harness/demo run "$dir"
