package customer_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// The tasks of one customer do not wait behind all tasks of another one that floods the queue.
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
