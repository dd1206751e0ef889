package edge

import (
	"context"
	"log/slog"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a message of another member that ends the process: fields that are missing, out of range or of a
// member that is not known.
func FuzzPeerEnvelope(f *testing.F) {
	network := newNetwork()
	store := newMemStore(network)
	store.desired = contract.Desired{Version: 1, Document: []byte("1")}
	d := &deployment{t: nil, net: network, store: store}
	daemon, err := New(Options{
		Self:  machine.Member{VM: "edge-a", Incarnation: 1, Address: "edge-a", Domain: "zone-a", CPUMillis: 400},
		Store: storeView{store, "edge-a"}, Calls: workerCalls{d, "edge-a"}, Peers: network.listen("edge-a"), Lease: testLease,
		Grace: testGrace, Now: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Dial: func(context.Context, string) (net.Conn, error) { return nil, errUnreachable },
	})
	require.NoError(f, err)
	f.Cleanup(daemon.Close)
	for _, m := range oddMessages() {
		f.Add(encode(f, m))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var env api.Envelope
		if proto.Unmarshal(data, &env) != nil {
			return
		}
		daemon.handle(&env)
	})
}

// oddMessages are messages of each kind without any field, from a member that introduces itself.
func oddMessages() []*api.PeerMessage {
	return []*api.PeerMessage{
		{Body: &api.PeerMessage_TaskOrder{TaskOrder: &api.TaskOrder{}}},
		{Body: &api.PeerMessage_TaskRefresh{TaskRefresh: &api.TaskRefresh{Keys: []*api.TaskKey{nil, {}}}}},
		{Body: &api.PeerMessage_TaskWithdrawal{TaskWithdrawal: &api.TaskWithdrawal{Keys: []*api.TaskKey{{}}}}},
		{Body: &api.PeerMessage_TaskUrgency{TaskUrgency: &api.TaskUrgency{Keys: []*api.TaskKey{{}}}}},
		{Body: &api.PeerMessage_TaskAck{TaskAck: &api.TaskAck{Keys: []*api.TaskKey{{}}}}},
		{Body: &api.PeerMessage_TaskReport{TaskReport: &api.TaskReport{State: 99}}},
		{Body: &api.PeerMessage_WorkerTakeover{WorkerTakeover: &api.WorkerTakeover{}}},
		{Body: &api.PeerMessage_PoolStatus{PoolStatus: &api.PoolStatus{Rooms: []*api.BackendRoom{{
			WaitingMs: make([]uint32, 99),
		}}}}},
		{Body: &api.PeerMessage_DesiredState{DesiredState: &api.DesiredState{}}},
		{Body: &api.PeerMessage_WorkerList{WorkerList: &api.WorkerList{}}},
		{Body: &api.PeerMessage_WorkerListRequest{WorkerListRequest: &api.WorkerListRequest{}}},
		{Body: &api.PeerMessage_WorkerEntryRequest{WorkerEntryRequest: &api.WorkerEntryRequest{}}},
		{Body: &api.PeerMessage_WorkerEntry{WorkerEntry: &api.WorkerEntry{}}},
		{Body: &api.PeerMessage_JobCancel{JobCancel: &api.JobCancel{}}},
		{Body: &api.PeerMessage_HeldJobs{HeldJobs: &api.HeldJobs{Jobs: []*api.HeldJob{
			nil, {}, {Job: strings.Repeat("a", 1<<16)}, {Job: "0123456789abcdef", AgeMs: math.MaxUint32},
		}}}},
		{Body: &api.PeerMessage_LateStarts{LateStarts: &api.LateStarts{
			Starts:   []*api.LateStart{nil, {}, {Task: &api.TaskKey{Job: "0123456789abcdef"}, Worker: "w", LeftMs: math.MaxUint32}},
			Replaced: []string{"", strings.Repeat("a", 1<<16), "w"},
		}}},
		{Body: &api.PeerMessage_LateStarts{LateStarts: &api.LateStarts{
			Entrusted: true, Starts: []*api.LateStart{nil, {}, {Task: &api.TaskKey{Job: "0123456789abcdef"}, Worker: "w"}},
			Answered: []*api.LateStart{nil, {}, {Task: &api.TaskKey{Job: "0123456789abcdef"}, Worker: "w"}},
		}}},
		{Body: &api.PeerMessage_WorkerIncarnations{WorkerIncarnations: &api.WorkerIncarnations{
			Incarnations: []*api.WorkerIncarnation{nil, {}, {Worker: "w", StartTimeMs: math.MaxInt64}, {Worker: "w", StartTimeMs: -1}},
		}}},
		{Body: &api.PeerMessage_TaskReport{TaskReport: &api.TaskReport{LateWorkers: []string{"", strings.Repeat("a", 1<<16)}}}},
		{Body: &api.PeerMessage_HeldJobs{HeldJobs: &api.HeldJobs{Home: "edge-x/1", Jobs: []*api.HeldJob{{Job: "a"}}}}},
		{Body: &api.PeerMessage_HeldJobsRequest{HeldJobsRequest: &api.HeldJobsRequest{Homes: []string{"", "edge-x/1"}}}},
		{Body: &api.PeerMessage_JobRelease{JobRelease: &api.JobRelease{AgeMs: math.MaxUint32, StampMs: math.MaxUint64}}},
		{Body: &api.PeerMessage_JobReleased{JobReleased: &api.JobReleased{Completed: true, Failed: true}}},
		{Body: &api.PeerMessage_MemberList{MemberList: &api.MemberList{Members: []*api.Member{{}}}}},
		{},
	}
}

func encode(f *testing.F, m *api.PeerMessage) []byte {
	f.Helper()
	hello := &api.PeerMessage{Body: &api.PeerMessage_PoolStatus{PoolStatus: &api.PoolStatus{
		Sender: &api.Member{Vm: "edge-b", Incarnation: 1, Address: "edge-b", Domain: "zone-a", CpuMillis: 400},
	}}}
	data, err := proto.Marshal(&api.Envelope{FromVm: "edge-b", FromIncarnation: 1,
		Messages: []*api.PeerMessage{hello, m}})
	require.NoError(f, err)
	return data
}
