#!/usr/bin/env bash
# Scores and hunts the sites of deploy/regression.txt and plays the days of deploy/days on
# each. BENCH is the bench's program, SITES the folder of the site files, WHY the line for the
# journal. It plays all sites and ends with an error if a gate failed or a rule was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set BENCH to the program of the bench}" "${SITES:?set SITES to the folder of the site files}"
why="${WHY:-regression run of $(git rev-parse --short HEAD)}"
failed=0

# check LOG PATTERN reports whether the log has a line that matches the pattern.
check() { grep -qE "$2" "$1"; }

log="$(mktemp)"
trap 'rm -f "$log"' EXIT
while read -r site days jobs; do
  case "$site" in ''|'#'*) continue ;; esac
  echo "== $site"
  "$BENCH" score "$SITES/$site" --why "$why" --jobs "$jobs" 2>&1 | tee "$log"
  check "$log" '^GATE passed' || { echo "$site: the gate failed"; failed=1; }
  "$BENCH" hunt "$SITES/$site" --days "$days" --why "$why" --jobs "$jobs" 2>&1 | tee "$log"
  check "$log" ', 0 with a rule broken' || { echo "$site: a hunted day broke a rule"; failed=1; }
  for day in deploy/days/*.toml; do
    "$BENCH" run "$SITES/$site" "$day" --why "$why" --jobs "$jobs" --report "$log" 2>&1 | head -n 4
    check "$log" '"fault": null' || { echo "$site: $day broke a rule"; failed=1; }
  done
done < deploy/regression.txt
exit "$failed"
