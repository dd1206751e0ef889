// Package zone models failure domains and regions: their members, the choice of the member that allocates the slots
// of a worker, and the allocation of these slots.
package zone
