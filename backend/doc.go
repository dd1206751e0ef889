// Package backend models the back ends of a deployment: services, the request kinds that they offer, and the observed
// run times and outcomes of each kind.
package backend
