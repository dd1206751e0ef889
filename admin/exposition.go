package admin

import (
	"fmt"
	"strconv"
	"strings"
)

const metricPrefix = "cicadadale_"

// exposition writes samples in the Prometheus text format: jobs.accepted becomes cicadadale_jobs_accepted_total.
func exposition(samples []sample) string {
	var b strings.Builder
	for _, s := range samples {
		name := metricPrefix + exposedName(s.name)
		if s.kind == typeCounter {
			name += "_total"
		}
		if s.help != "" {
			fmt.Fprintf(&b, "# HELP %s %s\n", name, escapeHelp(s.help))
		}
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, s.kind)
		if s.kind != typeSummary {
			fmt.Fprintf(&b, "%s %s\n", name, number(s.value))
			continue
		}
		for i, q := range quantiles {
			fmt.Fprintf(&b, "%s{quantile=%q} %s\n", name, number(q), number(s.quantiles[i]))
		}
		fmt.Fprintf(&b, "%s_sum %s\n%s_count %d\n", name, number(s.sum), name, s.count)
	}
	return b.String()
}

// exposedName replaces characters that the format does not allow in a name.
func exposedName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

func escapeHelp(text string) string {
	return strings.NewReplacer(`\`, `\\`, "\n", `\n`).Replace(text)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// samplesJSON returns the JSON form: a number for each counter and gauge, an object for each distribution.
func samplesJSON(samples []sample) map[string]any {
	out := make(map[string]any, len(samples))
	for _, s := range samples {
		if s.kind != typeSummary {
			out[s.name] = s.value
			continue
		}
		d := map[string]any{"count": s.count, "sum": s.sum}
		for i, q := range quantiles {
			d["p"+strings.TrimPrefix(number(q), "0.")] = s.quantiles[i]
		}
		out[s.name] = d
	}
	return out
}
