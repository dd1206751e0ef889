// Package backend models the back ends of a deployment: services, the request kinds that they offer, and the run
// times observed for each kind.
package backend
