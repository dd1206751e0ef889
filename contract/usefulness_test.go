package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is taken for useful after three times its latency target, or for of no use before.
func TestUsefulnessOfAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		target, deadline, end int
		want                  Usefulness
	}{
		"at the target":                     {200, 2000, 200, OnTime},
		"after the target":                  {200, 2000, 201, Late},
		"at three times the target":         {200, 2000, 600, Late},
		"after three times the target":      {200, 2000, 601, Useless},
		"after the deadline":                {200, 2000, 2001, Expired},
		"deadline before the target":        {200, 150, 160, Expired},
		"deadline before three times of it": {200, 400, 401, Expired},
		"late, deadline before three times": {200, 400, 400, Late},
	} {
		times := AnswerTimes{Accepted: start, Target: at(c.target), Deadline: at(c.deadline)}
		require.Equal(t, c.want, times.At(at(c.end)), name)
	}
}
