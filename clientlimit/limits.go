package clientlimit

import "time"

// Limits bound one request of a client.
type Limits struct {
	// HeadBytes counts the first line, the fields and the empty line after them. BodyBytes counts the contents of a body without
	// the overhead of its encoding.
	HeadBytes, BodyBytes int
	// HeadTime is the time from the first byte of a head to its last one.
	HeadTime time.Duration
	// IdleTime is the time without progress in a body.
	IdleTime time.Duration
}

const (
	// The defaults lie above the limits that desired states set.
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 1 << 20
	defaultHeadTime  = 30 * time.Second
	defaultIdleTime  = 75 * time.Second
	// bodyIdleTimes is the number of idle times after which a body must be complete, however steadily it progresses.
	bodyIdleTimes = 8
)

// WithDefaults replaces what is not set.
func (l Limits) WithDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = defaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = defaultIdleTime
	}
	return l
}

const (
	// defaultMemoryMB is the memory of the smallest VM.
	defaultMemoryMB = 144
	// fileDescriptors are not available to sockets.
	fileDescriptors = 200
	// ownShare of the sockets, one in that many, are for the process's own calls.
	ownShare = 4
	// connectionBytes is what a connection holds: buffers, goroutines and bytes that were received and not yet read.
	connectionBytes = 32 << 10
	// connectionShare and requestShare are the parts of the memory that all connections and all requests may take, one in that many.
	connectionShare = 2
	requestShare    = 12
	// callConnectionShare, callShare and messageShare are the parts for connections with calls over HTTP/2, for the calls and for their
	// messages.
	callConnectionShare = 4
	callShare           = 8
	messageShare        = 6
	// callBytes is what an open call holds with metadata of freeMetadataBytes.
	callBytes         = 16 << 10
	freeMetadataBytes = 4 << 10
	// connectionCallShare is the part of the calls that one connection may have, one in that many.
	connectionCallShare = 2
	// taskBytes is what a task of an accepted job holds until the job has been answered, taskShare the part of the memory for all of
	// them, one in that many.
	taskBytes = 512
	taskShare = 16
	// jobBytes is what a job holds beside its tasks until its answer is dropped, jobShare the part of the memory for all of them, one in
	// that many.
	jobBytes = 1 << 10
	jobShare = 4
	// answerShare and pendingShare are the parts for the answers that an entry daemon keeps and for the jobs that it has accepted and not
	// answered, one in that many.
	answerShare  = 4
	pendingShare = 8
	// collectPercent is the share of the memory from which on garbage is collected more often.
	collectPercent = 70
	minConnections = 16
)

// VM is the machine's part of the limits. Zero means the default.
type VM struct {
	MemoryMB int
	// Descriptors is the number of descriptors that the process may have.
	Descriptors int
}

func (v VM) memoryBytes() int64 {
	if v.MemoryMB <= 0 {
		return defaultMemoryMB << 20
	}
	return int64(v.MemoryMB) << 20
}

// Connections returns the number of connections that clients may have.
func (v VM) Connections() int { return v.connections(connectionShare) }

// CallConnections returns the number of connections for calls over HTTP/2.
func (v VM) CallConnections() int { return v.connections(callConnectionShare) }

// connections returns the number of connections that a share of the memory and the descriptors allow.
func (v VM) connections(share int64) int {
	byMemory := int(v.memoryBytes() / share / connectionBytes)
	if v.Descriptors <= 0 {
		return byMemory
	}
	sockets := v.Descriptors - fileDescriptors
	return max(min(sockets-sockets/ownShare, byMemory), minConnections)
}

// RequestBytes returns the budget for the requests of all clients.
func (v VM) RequestBytes() int64 { return v.memoryBytes() / requestShare }

// CallBytes returns what the open calls over HTTP/2 of all clients may hold.
func (v VM) CallBytes() int64 { return v.memoryBytes() / callShare }

// ConnectionCalls returns the number of calls that may be open on one connection.
func (v VM) ConnectionCalls() int { return int(v.CallBytes() / callBytes / connectionCallShare) }

// MessageBytes returns what the messages of all calls over HTTP/2 may hold.
func (v VM) MessageBytes() int64 { return v.memoryBytes() / messageShare }

// Tasks returns the number of tasks that all accepted jobs together may have.
func (v VM) Tasks() int { return int(v.memoryBytes() / taskShare / taskBytes) }

// Jobs returns the number of jobs that may be kept, those that have ended and whose answers are kept among them.
func (v VM) Jobs() int { return int(v.memoryBytes() / jobShare / jobBytes) }

// AnswerBytes returns what the answers that an entry daemon keeps may hold.
func (v VM) AnswerBytes() int64 { return v.memoryBytes() / answerShare }

// PendingJobBytes returns what the jobs that an entry daemon has accepted and not answered may hold.
func (v VM) PendingJobBytes() int64 { return v.memoryBytes() / pendingShare }

// CollectionBytes returns the memory from which on garbage is collected more often.
func (v VM) CollectionBytes() int64 { return v.memoryBytes() / 100 * collectPercent }
