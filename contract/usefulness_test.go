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

// Guards against runs that start at the last moment, so that half of them are late, and against targets that no run can meet because
// they are tight.
func TestExpectedUsefulness(t *testing.T) {
	start := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		target, run, after int
		want               Usefulness
	}{
		"a quarter longer is on time":    {200, 100, 75, OnTime},
		"a quarter longer is late":       {200, 100, 76, Late},
		"late":                           {200, 100, 101, Late},
		"of no use":                      {200, 100, 501, Useless},
		"tight target, at once":          {110, 100, 0, OnTime},
		"tight target, half of the time": {110, 100, 5, OnTime},
		"tight target, later":            {110, 100, 6, Late},
		"no time to wait":                {100, 100, 0, OnTime},
		"out of reach":                   {90, 100, 0, Late},
	} {
		times := AnswerTimes{Accepted: start, Target: start.Add(ms(c.target)), Deadline: start.Add(ms(2000))}
		require.Equal(t, c.want, times.Expect(start.Add(ms(c.after)), ms(c.run)), name)
	}
}
