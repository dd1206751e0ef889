package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Sequences of lists for which the property holds.
var listSequences = map[string][]modelSet{
	"removed":              {0b11111, 0b00111},
	"removed one by one":   {0b11111, 0b01111, 0b00111},
	"joined":               {0b00111, 0b11111},
	"joined one by one":    {0b00111, 0b01111, 0b11111},
	"replaced":             {0b00111, 0b00011, 0b01011},
	"joined, then removed": {0b00111, 0b11111, 0b01110},
	"replaced twice":       {0b11110, 0b10011, 0b11001, 0b11111},
	"removed and back":     {0b00111, 0b00011, 0b00111},
}

// Guards against two majorities of different lists of members; every clause is needed.
func TestListModel(t *testing.T) {
	t.Parallel()
	for name, lists := range listSequences {
		t.Run(name, func(t *testing.T) {
			states, violation := listModel{lists, everyListClause}.explore()
			fmt.Printf("list model: %d states, %s\n", states, name)
			require.Empty(t, violation)
		})
	}
	for clause := listClause(1); clause < lastListClause; clause <<= 1 {
		t.Run(listFaults[clause], func(t *testing.T) {
			for name, lists := range listSequences {
				if states, violation := (listModel{lists, everyListClause &^ clause}).explore(); len(violation) > 0 {
					t.Logf("%s: %d states; %v", name, states, violation)
					return
				}
			}
			t.Error("the model does not need this clause")
		})
	}
}

// Guards against a restriction of the property that is not needed: processes that start at the same time, know of no earlier
// list and are a majority by themselves.
func TestListModelRestriction(t *testing.T) {
	_, violation := listModel{[]modelSet{0b00011, 0b11111}, everyListClause}.explore()
	require.NotEmpty(t, violation)
}
