package standin

import (
	"encoding/json"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// slotsShown is the number of slots in a worker's entry. It has no effect: the worker's capacity limits its tasks.
const slotsShown = 8

// mustEncode encodes a document whose values JSON can always represent. An error is a programming error.
func mustEncode(document any) []byte {
	b, err := json.Marshal(document)
	if err != nil {
		panic("encode document: " + err.Error())
	}
	return b
}

// JobDocument returns the submission of a best-effort job with one step. The daemon need not store a best-effort job.
func JobDocument(spec string, tasks int, need machine.Resources, estimateMS int) []byte {
	return mustEncode(map[string]any{
		"task_spec": spec, "best_effort": true,
		"steps": []map[string]any{{
			"count": tasks, "cpu": need.CPUMillis, "mem_mb": need.MemoryMB, "estimate_ms": estimateMS,
		}},
	})
}

// DesiredDocument returns a desired state with one route to one service, whose workers enforce their capacity.
func DesiredDocument(version int, r contract.Route) []byte {
	return mustEncode(map[string]any{
		"version": version, "limits": map[string]any{},
		"routes": []map[string]any{{
			"name": r.Name, "host": r.Host, "path_prefix": r.PathPrefix, "service": r.Backend, "priority": r.Priority,
			"attempts": r.Attempts, "slo_factor": r.TargetFactor, "slo_ms": r.TargetSlack.Milliseconds(),
			"timeout_ms": r.Timeout.Milliseconds(),
		}},
		"services": []map[string]any{{"name": r.Backend, "admission_check": true}},
	})
}

// EvacuationDocument returns the record of an evacuated failure domain, which its key names.
func EvacuationDocument() []byte { return mustEncode(map[string]any{}) }

// EntryDocument returns a worker's entry in the store.
func EntryDocument(l machine.Listing) []byte {
	state := "ready"
	if l.Draining {
		state = "draining"
	}
	return mustEncode(map[string]any{
		"service": l.Backend, "address": l.Address, "zone": l.Zone, "version": "1", "slots": slotsShown, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": l.StartTime, "labels": l.Labels,
		"capacity": map[string]int{"cpu": l.Capacity.CPUMillis, "mem_mb": l.Capacity.MemoryMB, "gpus": l.Capacity.GPUs},
	})
}
