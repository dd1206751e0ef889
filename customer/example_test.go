package customer_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// A customer that floods the queue does not delay the tasks of another customer behind all of its own.
func ExampleQueue() {
	now := time.Unix(0, 0)
	q := customer.NewQueue(customer.NewTeams(false))
	push := func(name string, seq uint64, tasks int) {
		for i := range tasks {
			q.Push([]customer.Item{{
				Task:     contract.TaskID{Job: contract.JobID{Home: 1, Seq: seq}, Index: i},
				Customer: name, Deadline: now.Add(time.Second), Enqueued: now, Expected: 100 * time.Millisecond,
			}})
		}
	}
	push("flooding", 1, 100)
	push("modest", 2, 2)
	started := make(map[string]int)
	for range 4 {
		it, _ := q.Pop(false)
		started[it.Customer]++
	}
	fmt.Println(started)
	// Output:
	// map[flooding:2 modest:2]
}
