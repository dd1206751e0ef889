#!/usr/bin/env bash
# Breaks one safety rule at a time on a scratch copy of the repository and prints which check of the soak run saw it,
# after how many starts. Usage: load/mutations.sh [seed] [duration]. Exits 1 if a broken rule was not seen.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
duration=${2:-15s}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0

# replace FILE OLD NEW replaces a text that must occur.
replace() {
  OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "text not found in $ARGV: $ENV{OLD}\n"' "$scratch/src/$1"
}

# mutation NAME FAULTS runs the soak on the copy as changed by the function of the same name.
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

# A start in doubt is taken for one that never happened and is sent again.
resend_in_doubt() {
  replace dispatch/run.go 'reply, err = d.resolve(req)' 'err = fault.NotStarted.New("assumed")'
}

# Another incarnation of a worker is taken for a proof that the task never started.
ignore_incarnation() {
  replace link/worker.go 'reply.Outcome = contract.OutcomeUnknown
		reply.Detail = "worker restarted"
		return reply, nil' 'return reply, fault.NotStarted.New("worker restarted")'
}

# A home that was paused continues, and the worker ignores the start-by time of its starts.
accept_stale_start() {
  replace standin/worker.go 'p.clock().Milliseconds() >= startBy' 'false && startBy > 0'
  replace entry/pause.go 'return !d.pauseDetector.observe(now, d.fenceAfterPause) && !d.fenced.Load() && d.lease.Holds(d.domain.Listed(), now)' \
    'return !now.IsZero()'
}

# A planned stop appends and announces no tombstone, and the members do not forward it.
drop_closure() {
  replace entry/tombstones.go '	if d.homes.Succeed(successionOf(c), d.o.Now()) {
		d.broadcastSuccession(successionOf(c))
	}
	if' '	if'
  replace entry/tombstones.go '		if d.homes.Learn(successionOf(c), d.o.Now()) {
			d.broadcastSuccession(successionOf(c))
		}' '		_ = c'
  replace entry/tombstones.go '	record := l.d.tombstone(s)
' '	if l.d != nil {
		return
	}
	record := l.d.tombstone(s)
'
}

# A leaving worker is given to new work.
ignore_leaving() {
  replace machine/worker.go 'spec.Leaving = spec.Leaving || w.spec.Leaving' 'spec.Leaving = false'
}

mutation none entry_crash entry_planned_stop worker_replies_lost worker_crash
mutation resend_in_doubt worker_replies_lost
mutation ignore_incarnation worker_crash
mutation accept_stale_start entry_pause
mutation drop_closure entry_planned_stop
mutation ignore_leaving worker_leaving
exit "$missed"
