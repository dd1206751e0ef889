// Package customer models customers and their teams: admission, fair sharing of the capacity, quotas and the order of
// their waiting tasks.
package customer
