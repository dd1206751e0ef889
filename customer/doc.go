// Package customer models customers and their teams: their shares of the capacity and the order of their work.
package customer
