package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/command"
	"github.com/cicadadale/cicadadale/soak"
)

// TestMain runs the edge daemon when the soak starts the test binary as a child process.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "edge" {
		if err := command.Root().Run(context.Background(), os.Args); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Guards against a soak run that starts no tasks, injects no faults or performs no checks, and against edge daemons
// that violate a guarantee when they run as separate processes.
func TestShortSoakOfEdgeDaemonsIsClean(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	kinds := []string{"kill", "planned_stop", "pause", "peers_silent", "store_cut", "worker_crash", "worker_loses"}
	var out bytes.Buffer
	r, err := soak.Run(soak.Options{
		Program: program, Seed: 1, Duration: 4 * time.Second, Domains: 2, Daemons: 2, Workers: 4, Faults: kinds,
		Dir: t.TempDir(), Out: &out,
	})
	require.NoError(t, err)
	require.Zero(t, r.Violations, out.String())
	require.Positive(t, r.TasksStarted)
	require.Positive(t, r.Completed)
	require.NotEmpty(t, r.FaultsInjected)
	checks := []string{
		soak.CheckRunsOnce, soak.CheckRefusedNotRun, soak.CheckCompletedDone, soak.CheckNoUnexpectedExit,
		soak.CheckServesAfterFaults,
	}
	for _, c := range checks {
		require.Positive(t, r.InvariantChecks[c], c)
	}
}

// Guards against answers that a submission does not have, such as a job that is answered as cancelled because its client has
// closed its half of the connection.
func TestClientFaultsSpoilNoAnswer(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	var out bytes.Buffer
	r, err := soak.Run(soak.Options{
		Program: program, Seed: 1, Duration: 4 * time.Second, Domains: 2, Daemons: 2, Workers: 4, Dir: t.TempDir(), Out: &out,
		Faults: []string{"clients_half_close", "clients_reset", "clients_leave", "clients_cancel"}, FaultInterval: 150 * time.Millisecond,
	})
	require.NoError(t, err)
	require.Zero(t, r.Violations, out.String())
	require.Positive(t, r.Completed)
	require.NotZero(t, r.FaultsInjected["clients_half_close"])
	require.Positive(t, r.InvariantChecks[soak.CheckAnswerIsAllowed])
	require.Positive(t, r.InvariantChecks[soak.CheckFailedHasCause])
	require.Positive(t, r.InvariantChecks[soak.CheckCancelledEnds])
}

// Guards against starts in a failure domain that is evacuated while members are cut off from the store.
func TestEvacuatedDomainsGetNoTask(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	var out bytes.Buffer
	r, err := soak.Run(soak.Options{
		Program: program, Seed: 1, Duration: 8 * time.Second, Domains: 2, Daemons: 2, Workers: 4, Dir: t.TempDir(), Out: &out,
		Faults: []string{"evacuation", "store_silent"}, FaultInterval: time.Second,
	})
	require.NoError(t, err)
	require.Zero(t, r.Violations, out.String())
	require.Positive(t, r.Completed)
	require.Positive(t, r.InvariantChecks[soak.CheckEvacuatedGetsNothing])
}

// requireNoSecondRun runs a soak with one kind of fault, in which every other run is long, and checks that it finds no violation.
func requireNoSecondRun(t *testing.T, kind string, o soak.Options) soak.Report {
	t.Helper()
	return requireNoSecondRunUnder(t, []string{kind}, o)
}

// requireNoSecondRunUnder runs a soak with several kinds of faults, in which every other run is long, and checks that each kind
// was injected and no violation found.
func requireNoSecondRunUnder(t *testing.T, kinds []string, o soak.Options) soak.Report {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	var out bytes.Buffer
	o.Program, o.Faults, o.LongRuns, o.Dir, o.Out = program, kinds, 2, t.TempDir(), &out
	r, err := soak.Run(o)
	require.NoError(t, err)
	require.Zero(t, r.Violations, out.String())
	for _, kind := range kinds {
		require.Positive(t, r.FaultsInjected[kind], kind)
	}
	require.Positive(t, r.InvariantChecks[soak.CheckRunsOnce])
	require.Positive(t, r.Completed)
	return r
}

// Guards against a daemon that starts or keeps runs for clients that it has lost without notice while another daemon starts them.
func TestCallersLostUnseenGetNoSecondRun(t *testing.T) {
	for _, kind := range []string{"clients_abandoned", "isolated"} {
		t.Run(kind, func(t *testing.T) {
			requireNoSecondRun(t, kind, soak.Options{
				Seed: 336, Duration: 13 * time.Second, Domains: 1, Daemons: 2, Workers: 12, FaultInterval: 3 * time.Second,
			})
		})
	}
}

// Guards against a failure domain that, cut off as a whole, keeps the runs of jobs whose clients have turned to the other domains.
func TestDomainCutOffBeforeItsClientsGetsNoSecondRun(t *testing.T) {
	requireNoSecondRun(t, "domain_cut_late", soak.Options{
		Seed: 51, Duration: 14 * time.Second, Domains: 3, Daemons: 2, Workers: 8, FaultInterval: 4 * time.Second,
	})
}

// Guards against a second run of a task whose first start got no answer, when the failure domain of its owner and home loses its power
// and the restarted worker executes that start.
func TestLostFailureDomainsGetNoSecondRun(t *testing.T) {
	r := requireNoSecondRun(t, "domain_power", soak.Options{
		Seed: 2, Duration: 14 * time.Second, Domains: 3, Daemons: 2, Workers: 6, FaultInterval: 2500 * time.Millisecond,
	})
	t.Logf("%d starts held, %d of them executed", r.StartsHeld, r.LateStarts)
	require.Positive(t, r.StartsHeld)
}

// Guards against a second run of a task whose first start got no answer and is executed late, when its worker has just restarted.
func TestLateStartsAtRestartedWorkersAreNoSecondRuns(t *testing.T) {
	r := requireNoSecondRun(t, "worker_late_restart", soak.Options{
		Seed: 43, Duration: 6 * time.Second, Domains: 2, Daemons: 2, Workers: 6, FaultInterval: 300 * time.Millisecond,
	})
	t.Logf("%d starts held, %d of them executed after a restart", r.StartsHeld, r.LateStarts)
	require.Positive(t, r.LateStarts)
}

// Guards against a second run of a task whose first starts got no answer, when the next one starts elsewhere while their worker
// is silent and a restart of that worker executes them: crashes, repeated answers and pauses of daemons make the home conclude
// early that a run is over. Half of the faults are restarts, so that some of them execute a start.
func TestLateStartsAmongOtherFaultsAreNoSecondRuns(t *testing.T) {
	late := "worker_late_restart"
	r := requireNoSecondRunUnder(t, []string{late, late, late, "worker_repeats", "worker_crash", "pause"}, soak.Options{
		Seed: 71, Duration: 5 * time.Second, Domains: 4, Daemons: 3, Workers: 8, FaultInterval: 250 * time.Millisecond,
	})
	t.Logf("%d starts held, %d of them executed after a restart", r.StartsHeld, r.LateStarts)
	require.Positive(t, r.LateStarts)
}

// Guards against a second run of a task whose first start and stop got no answer, while their worker answers its lists and executes the
// start seconds later, with a lease that counts from then.
func TestLateOrdersAtAnsweringWorkersAreNoSecondRuns(t *testing.T) {
	r := requireNoSecondRun(t, "worker_late_grants", soak.Options{
		Seed: 2, Duration: 7 * time.Second, Domains: 2, Daemons: 2, Workers: 6, FaultInterval: 300 * time.Millisecond,
	})
	require.Positive(t, r.LateOrders)
}

// Guards against a misspelt fault kind that leaves a run without faults, and against a wave of more workers than there are.
func TestUnknownFaultIsAnError(t *testing.T) {
	_, err := soak.Run(soak.Options{Faults: []string{"kil"}})
	require.ErrorContains(t, err, "kil")
	_, err = soak.Run(soak.Options{WaveShare: 1.5})
	require.ErrorContains(t, err, "1.5")
}
