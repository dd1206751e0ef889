package hostile

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cicadadale/cicadadale/standin"
)

const (
	largestJobTasks = 500
	// largeSpecBytes is far more than the 4,000 bytes that a job's specification may have.
	largeSpecBytes = 200 << 10
	// mostTasks is the largest number of tasks that the daemon takes in a job.
	mostTasks = 10_000
)

// Guards against a specification over its limit that is copied for each task of its job.
func TestLargeSpecificationsOfManyTasks(t *testing.T) {
	d, c := startEdge(t, deployedBodyBytes), newCrowd(t)
	body := string(standin.JobDocument(strings.Repeat("s", largeSpecBytes), largestJobTasks, taskNeed, estimateMS))
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body)
	})
	d.requireServing()
}

// Guards against jobs of a few bytes whose tasks, all together, use up the memory.
func TestManyTasksInSmallJobs(t *testing.T) {
	d, c := startEdge(t, maxBodyBytes), newCrowd(t)
	body := string(standin.JobDocument("s", mostTasks, taskNeed, estimateMS))
	c.attack(d.front, largeCrowd, func(w io.Writer) error {
		return writeAll(w, d.head(fmt.Sprintf("Deadline-Ms: 3600000\r\nContent-Length: %d\r\n\r\n", len(body))), body)
	})
	d.requireServing()
}
