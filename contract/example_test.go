package contract_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// A job table accepts a job once, however often it is submitted, and lets each task start once.
func ExampleJobTable() {
	now := time.Unix(0, 0)
	table := contract.NewJobTable(1, 7)
	id := table.Mint(1)[0]
	spec := contract.JobSpec{ID: id, Service: "wakala.v1.Orders", Tasks: []contract.TaskSpec{{Kind: "IssueOrder"}}}
	for range 2 {
		fresh, err := table.Accept(spec, now)
		fmt.Println(fresh, err)
	}
	task := contract.TaskID{Job: id}
	for range 2 {
		_, ok := table.Start(task, "worker-1")
		fmt.Println(ok)
	}
	a, last := table.Finish(task, contract.TaskReport{Outcome: contract.OutcomeDone}, []byte("order-17"), now)
	fmt.Println(a.Verdict, last, string(a.Results[0]))
	// Output:
	// true <nil>
	// false <nil>
	// true
	// false
	// complete true order-17
}

// A key is bound by the claim with the lowest offset in the log.
func ExampleClaimTable() {
	at := time.UnixMilli(1000)
	key := contract.CallerKey{Customer: "wakala", Text: "order-17", CreatedUnixMS: 1000}
	table := contract.NewClaimTable()
	for offset, job := range []contract.JobID{{Domain: 1, Home: 7, Seq: 1}, {Domain: 2, Home: 9, Seq: 1}} {
		batch := contract.ClaimBatch{ID: fmt.Sprint(offset), Claims: []contract.Claim{{Key: key, Job: job}}}
		for _, d := range table.Apply(uint64(offset), at, batch) {
			fmt.Println(d.Claim.Job, "is answered by", d.Winner)
		}
	}
	// Output:
	// j-1-0000000000000007-1 is answered by j-1-0000000000000007-1
	// j-2-0000000000000009-1 is answered by j-1-0000000000000007-1
}
