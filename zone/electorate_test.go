package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two parts of a deployment that both count as a majority, and against a home that needs members that have left.
func TestMajorityContact(t *testing.T) {
	now := time.Now()
	for members := 1; members <= 9; members++ {
		var others []string
		for n := 1; n < members; n++ {
			others = append(others, fmt.Sprint(n))
		}
		e := NewElectorate(others)
		for reached := 0; reached < members; reached++ {
			contact := func(id string) (time.Time, bool) {
				for n := range reached {
					if id == fmt.Sprint(n+1) {
						return now, true
					}
				}
				return now.Add(-time.Hour), true
			}
			inContact := e.MajorityContact(now, contact).Equal(now)
			require.Equal(t, 2*(reached+1) > members, inContact, "%d of %d", reached+1, members)
		}
		left := func(string) (time.Time, bool) { return time.Time{}, false }
		require.Equal(t, now, e.MajorityContact(now, left), "all others have left")
	}
	ab, ba := NewElectorate([]string{"a", "b"}), NewElectorate([]string{"b", "a"})
	require.Equal(t, ab, ba, "the order of the members does not count")
}
