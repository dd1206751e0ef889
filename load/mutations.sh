#!/usr/bin/env bash
# Breaks one safety rule at a time on a scratch copy of the repository and prints which checks of the soak run detected
# it, and after how many starts. Usage: load/mutations.sh [seed] [duration]. Exits 1 if a mutation was not detected.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
duration=${2:-15s}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0

# replace FILE OLD NEW replaces the first occurrence of a text, or fails if there is none.
replace() {
  OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "text not found in $ARGV: $ENV{OLD}\n"' "$scratch/src/$1"
}

# mutation NAME FAULTS applies the function NAME to the copy and runs the soak on it.
mutation() {
  local name=$1 faults=()
  shift
  for f in "$@"; do faults+=(--fault "$f"); done
  rm -rf "$scratch/src"
  mkdir "$scratch/src"
  git ls-files -z | xargs -0 tar cf - | tar xf - -C "$scratch/src"
  "$name"
  (cd "$scratch/src" && go build -o "$scratch/cicadadale" ./cmd/cicadadale)
  "$scratch/cicadadale" soak --seed "$seed" --duration "$duration" "${faults[@]}" --json >"$scratch/out" 2>&1 || true
  local starts seen
  starts=$(tail -n 1 "$scratch/out" | sed -n 's/.*"tasks_started":\([0-9]*\).*/\1/p')
  seen=$(sed -n 's/.*violation of \([a-z_]*\) at.*/\1/p' "$scratch/out" | sort | uniq -c | tr -s ' \n' ' ')
  echo "$name: first seen after $(sed -n 's/^start \([0-9]*\),.*/\1/p' "$scratch/out" | head -n 1) of $starts starts:${seen:- nothing}"
  if [ "$name" != none ] && [ -z "$seen" ]; then missed=1; fi
}

none() { :; }

# A start in doubt is treated as not started and is sent again.
resend_in_doubt() {
  replace dispatch/run.go 'reply, err = d.resolve(req)' 'err = fault.NotStarted.New("assumed")'
}

# A new incarnation of a worker is treated as proof that the task has not started.
ignore_incarnation() {
  replace link/worker.go 'reply.Outcome = contract.OutcomeUnknown
		reply.Detail = "worker restarted"
		return reply, nil' 'return reply, fault.NotStarted.New("worker restarted")'
}

# A home continues after a pause, and the worker ignores the start-by time of its starts.
accept_stale_start() {
  replace standin/worker.go 'p.clock().Milliseconds() >= startBy' 'false && startBy > 0'
  replace entry/pause.go 'return !d.pauseDetector.observe(now, d.fenceAfterPause) && !d.fenced.Load() && d.lease.Holds(d.domain.Listed(), now)' \
    'return !now.IsZero()'
}

# A planned stop appends and announces no tombstone, and the members do not forward tombstones.
drop_tombstone() {
  replace entry/tombstones.go '	if d.homes.SetSuccession(successionOf(c), d.o.Now()) {
		d.broadcastSuccession(successionOf(c))
	}
	if' '	if'
  replace entry/tombstones.go '		if d.homes.SetReportedSuccession(successionOf(c), d.o.Now()) {
			d.broadcastSuccession(successionOf(c))
		}' '		_ = c'
  replace entry/tombstones.go '	record := l.d.tombstone(s)
' '	if l.d != nil {
		return
	}
	record := l.d.tombstone(s)
'
}

# New work is placed on a leaving worker.
ignore_leaving() {
  replace machine/worker.go 'spec.Leaving = spec.Leaving || w.spec.Leaving' 'spec.Leaving = false'
}

mutation none entry_crash entry_planned_stop worker_replies_lost worker_crash
mutation resend_in_doubt worker_replies_lost
mutation ignore_incarnation worker_crash
mutation accept_stale_start entry_pause
mutation drop_tombstone entry_planned_stop
mutation ignore_leaving worker_leaving
exit "$missed"
