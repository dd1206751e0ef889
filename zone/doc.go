// Package zone models failure domains and regions: their members, and the choice of the member that grants the
// slots of a worker.
package zone
