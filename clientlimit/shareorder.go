package clientlimit

import "container/heap"

// ranking is a rule by which the shares of connections are ordered when room is needed.
type ranking uint8

const (
	mostCalls ranking = iota
	largestMessages
	longestStalled
	rankings
)

// before reports whether a gives way before b.
func (r ranking) before(a, b *CallShare) bool {
	switch r {
	case mostCalls:
		return a.callBytes > b.callBytes
	case largestMessages:
		return a.messageBytes > b.messageBytes
	default:
		if a.stalledSince.IsZero() || b.stalledSince.IsZero() {
			return !a.stalledSince.IsZero()
		}
		return a.stalledSince.Before(b.stalledSince)
	}
}

// shareOrder keeps the shares of all connections in the order of a ranking. It implements heap.Interface.
type shareOrder struct {
	ranking ranking
	shares  []*CallShare
}

// Len implements heap.Interface.
func (o *shareOrder) Len() int { return len(o.shares) }

// Less implements heap.Interface.
func (o *shareOrder) Less(i, j int) bool { return o.ranking.before(o.shares[i], o.shares[j]) }

// Swap implements heap.Interface.
func (o *shareOrder) Swap(i, j int) {
	o.shares[i], o.shares[j] = o.shares[j], o.shares[i]
	o.shares[i].index[o.ranking], o.shares[j].index[o.ranking] = i, j
}

// Push implements heap.Interface.
func (o *shareOrder) Push(x any) {
	s := x.(*CallShare)
	s.index[o.ranking] = len(o.shares)
	o.shares = append(o.shares, s)
}

// Pop implements heap.Interface.
func (o *shareOrder) Pop() any {
	last := len(o.shares) - 1
	s := o.shares[last]
	o.shares[last] = nil
	o.shares = o.shares[:last]
	return s
}

func (o *shareOrder) add(s *CallShare)    { heap.Push(o, s) }
func (o *shareOrder) remove(s *CallShare) { heap.Remove(o, s.index[o.ranking]) }
func (o *shareOrder) update(s *CallShare) { heap.Fix(o, s.index[o.ranking]) }

// first returns the share that gives way first, without regard to one of them; nil if there is no other.
func (o *shareOrder) first(except *CallShare) *CallShare {
	if len(o.shares) == 0 {
		return nil
	}
	if o.shares[0] != except {
		return o.shares[0]
	}
	var first *CallShare
	for _, s := range o.shares[1:min(3, len(o.shares))] {
		if first == nil || o.ranking.before(s, first) {
			first = s
		}
	}
	return first
}
