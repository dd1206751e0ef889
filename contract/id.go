package contract

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// idLength is the usual length of an id as text in bytes, used as initial capacity.
const idLength = 48

// JobID identifies a job. Home is the incarnation that minted the id; only it may start the job's tasks, or a successor
// to which it has handed over the job.
type JobID struct {
	Domain zone.DomainID
	Home   machine.Incarnation
	Seq    uint64
}

// String returns the form that callers see, for example j-2-00c0ffee00c0ffee-17.
func (id JobID) String() string { return string(id.appendTo(make([]byte, 0, idLength))) }

// appendTo appends the form that String returns. Ids are formatted for every start, which fmt would slow down.
func (id JobID) appendTo(b []byte) []byte {
	b = append(b, "j-"...)
	b = strconv.AppendUint(b, uint64(id.Domain), 10)
	b = append(b, '-')
	b = id.Home.AppendTo(b)
	b = append(b, '-')
	return strconv.AppendUint(b, id.Seq, 10)
}

// maxJobID is the length of the longest id.
const maxJobID = len("j-65535-0123456789abcdef-18446744073709551615")

// ParseJobID parses the canonical form that String returns and rejects any other: workers compare ids as text, so an
// id with a second spelling could be started twice.
func ParseJobID(s string) (JobID, error) {
	if len(s) > maxJobID {
		return JobID{}, fmt.Errorf("job id of %d bytes is too long", len(s))
	}
	id, err := parseJobID(s)
	if err == nil && id.String() != s {
		return JobID{}, fmt.Errorf("job id %q is not in its usual form %q", s, id)
	}
	return id, err
}

func parseJobID(s string) (JobID, error) {
	parts := strings.Split(s, "-")
	if len(parts) != 4 || parts[0] != "j" {
		return JobID{}, fmt.Errorf("invalid job id %q", s)
	}
	domain, err := strconv.ParseUint(parts[1], 10, 16)
	if err != nil {
		return JobID{}, fmt.Errorf("invalid failure domain in job id %q", s)
	}
	home, err := machine.ParseIncarnation(parts[2])
	if err != nil {
		return JobID{}, fmt.Errorf("invalid incarnation in job id %q", s)
	}
	seq, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil || seq == 0 {
		return JobID{}, fmt.Errorf("invalid sequence number in job id %q", s)
	}
	return JobID{Domain: zone.DomainID(domain), Home: home, Seq: seq}, nil
}

// TaskID identifies a task by its job and index.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the form that workers see.
func (id TaskID) String() string {
	b := append(id.Job.appendTo(make([]byte, 0, idLength)), '.')
	return string(strconv.AppendInt(b, int64(id.Index), 10))
}

// ParseTaskID parses the canonical form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, ".")
	if !ok {
		return TaskID{}, fmt.Errorf("invalid task id %q", s)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return TaskID{}, err
	}
	i, err := strconv.ParseUint(index, 10, 16)
	if err != nil {
		return TaskID{}, fmt.Errorf("invalid index in task id %q", s)
	}
	task := TaskID{Job: id, Index: int(i)}
	if task.String() != s {
		return TaskID{}, fmt.Errorf("task id %q is not in its usual form %q", s, task)
	}
	return task, nil
}

// CallerKey is an idempotency key chosen by the caller. All fields are part of its identity.
type CallerKey struct {
	Customer      string
	Text          string
	CreatedUnixMS int64
}

// String returns a form for logs and hashing.
func (k CallerKey) String() string {
	return fmt.Sprintf("%s/%s@%d", k.Customer, k.Text, k.CreatedUnixMS)
}
