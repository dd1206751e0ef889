package contract

import (
	"math"
	"math/bits"
)

const (
	// Speeds are compared in steps of 10%, from about a quarter to about four times the average speed.
	speedStep     = 1.1
	speedBuckets  = 32
	averageBucket = speedBuckets / 2
)

// slotBuckets holds idle slots by the speed of their worker.
type slotBuckets struct {
	slots [speedBuckets][]Slot
	// filled has a bit set for each bucket that is not empty.
	filled uint32
	length int
}

func speedBucket(speed float64) int {
	if speed <= 0 {
		return 0
	}
	b := averageBucket + int(math.Round(math.Log(speed)/math.Log(speedStep)))
	return max(0, min(speedBuckets-1, b))
}

func (b *slotBuckets) push(s Slot, speed float64) {
	i := speedBucket(speed)
	b.slots[i] = append(b.slots[i], s)
	b.filled |= 1 << i
	b.length++
}

// pop removes the most recently added slot of a bucket that is not empty. Slots that have been idle for long thus
// stay idle and can be returned.
func (b *slotBuckets) pop(i int) Slot {
	n := len(b.slots[i]) - 1
	s := b.slots[i][n]
	b.slots[i] = b.slots[i][:n]
	if n == 0 {
		b.filled &^= 1 << i
	}
	b.length--
	return s
}

// fastest returns the bucket of the fastest idle slot, or -1 if there is none.
func (b *slotBuckets) fastest() int { return bits.Len32(b.filled) - 1 }

// slowest returns the bucket of the slowest idle slot, or -1 if there is none.
func (b *slotBuckets) slowest() int {
	if b.filled == 0 {
		return -1
	}
	return bits.TrailingZeros32(b.filled)
}

// remove appends the slots for which drop returns true to dropped.
func (b *slotBuckets) remove(dropped []Slot, drop func(Slot) bool) []Slot {
	for i, slots := range b.slots {
		if len(slots) == 0 {
			continue
		}
		kept := slots[:0]
		for _, s := range slots {
			if drop(s) {
				dropped = append(dropped, s)
			} else {
				kept = append(kept, s)
			}
		}
		b.length -= len(slots) - len(kept)
		b.slots[i] = kept
		if len(kept) == 0 {
			b.filled &^= 1 << i
		}
	}
	return dropped
}
