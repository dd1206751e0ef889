package backend_test

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/backend"
)

// A kind that is declared short is reclassified as long after enough long runs.
func ExampleRequestKind() {
	k := backend.NewRequestKind(backend.KindSpec{Name: "IssueOrder", Expected: 200 * time.Millisecond})
	fmt.Println(k.Class(), k.Expected())
	for range 300 {
		k.Observe(4*time.Second, 1)
	}
	fmt.Println(k.Class(), k.Expected())
	// Output:
	// short 200ms
	// long 4s
}
