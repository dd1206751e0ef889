// Package entry assembles the entry daemon from its parts.
package entry
