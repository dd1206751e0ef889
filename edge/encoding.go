package edge

import (
	"math"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

func encodeMember(m machine.Member) *api.Member {
	return &api.Member{
		Vm: m.VM, Incarnation: uint64(m.Incarnation), Address: m.Address, Domain: m.Domain, CpuMillis: clamp(m.CPUMillis),
	}
}

func decodeMember(m *api.Member) machine.Member {
	return machine.Member{
		VM: m.GetVm(), Incarnation: machine.Incarnation(m.GetIncarnation()), Address: m.GetAddress(),
		Domain: m.GetDomain(), CPUMillis: int(m.GetCpuMillis()),
	}
}

func encodeCapacity(backend string, c zone.BackendCapacity) *api.BackendRoom {
	m := &api.BackendRoom{
		Backend: backend, FreeSlots: clamp(c.Free), Slots: clamp(c.Slots), SlowFreeSlots: clamp(c.SlowFree),
	}
	for _, w := range c.Waiting {
		m.WaitingMs = append(m.WaitingMs, clampMillis(w))
	}
	return m
}

func decodeCapacity(m *api.BackendRoom) zone.BackendCapacity {
	c := zone.BackendCapacity{
		Free: int(m.GetFreeSlots()), Slots: int(m.GetSlots()), SlowFree: int(min(m.GetSlowFreeSlots(), m.GetFreeSlots())),
	}
	for i, w := range m.GetWaitingMs() {
		if i < len(c.Waiting) {
			c.Waiting[i] = time.Duration(w) * time.Millisecond
		}
	}
	return c
}

func encodeKey(k contract.RunKey) *api.TaskKey {
	return &api.TaskKey{Job: k.Batch, Step: uint32(k.Step), Index: uint32(k.Index), Run: k.Run}
}

func decodeKey(k *api.TaskKey) contract.RunKey {
	return contract.RunKey{Batch: k.GetJob(), Step: int(k.GetStep()), Index: int(k.GetIndex()), Run: k.GetRun()}
}

func encodeKeys(keys []contract.RunKey) []*api.TaskKey {
	list := make([]*api.TaskKey, len(keys))
	for i, k := range keys {
		list[i] = encodeKey(k)
	}
	return list
}

func decodeKeys(list []*api.TaskKey) []contract.RunKey {
	keys := make([]contract.RunKey, len(list))
	for i, k := range list {
		keys[i] = decodeKey(k)
	}
	return keys
}

// encodeOrder converts times to remaining durations, since the clocks of two VMs differ.
func encodeOrder(o contract.TaskOrder, now time.Time) *api.TaskOrder {
	return &api.TaskOrder{
		Key: encodeKey(o.Key), Backend: o.Backend, Spec: o.Spec, CpuMillis: clamp(o.Need.CPUMillis),
		MemoryMb: clamp(o.Need.MemoryMB), Gpus: clamp(o.Need.GPUs), Priority: clamp(o.Priority),
		TargetMs: signedMillis(o.Target.Sub(now)), DeadlineMs: signedMillis(o.Deadline.Sub(now)),
		ExpectedMs: clampMillis(o.Expected), RequiredLabel: o.RequiredLabel, PreferredRack: o.PreferredRack, Claim: o.Claim,
		AgeMs: clampMillis(now.Sub(o.Accepted)), PerWorker: clamp(o.PerWorkerLimit),
		Route: o.Route, Alone: o.Alone, ClaimToken: o.ClaimToken, OnlyWorker: o.OnlyWorker, Suggested: o.Suggested,
		JobStarted: o.JobStarted,
	}
}

func decodeOrder(m *api.TaskOrder, now time.Time) contract.TaskOrder {
	return contract.TaskOrder{
		Key: decodeKey(m.GetKey()), Backend: m.GetBackend(), Spec: m.GetSpec(),
		Need: machine.Resources{
			CPUMillis: int(m.GetCpuMillis()), MemoryMB: int(m.GetMemoryMb()), GPUs: int(m.GetGpus()),
		},
		Priority: int(m.GetPriority()),
		Target:   now.Add(time.Duration(m.GetTargetMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		Expected: time.Duration(m.GetExpectedMs()) * time.Millisecond, RequiredLabel: m.GetRequiredLabel(),
		PreferredRack: m.GetPreferredRack(), Claim: m.GetClaim(), PerWorkerLimit: int(m.GetPerWorker()),
		Accepted: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond), Route: m.GetRoute(), Alone: m.GetAlone(),
		ClaimToken: m.GetClaimToken(), OnlyWorker: m.GetOnlyWorker(), Suggested: m.GetSuggested(),
		JobStarted: m.GetJobStarted(),
	}
}

func clampMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// clamp converts a number that is not negative to the range of the messages. A need that is cut off would pass for a
// small one.
func clamp(n int) uint32 { return uint32(min(max(int64(n), 0), math.MaxUint32)) }

func signedMillis(d time.Duration) int32 {
	return int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32))
}
