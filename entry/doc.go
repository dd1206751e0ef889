// Package entry assembles the daemon that runs on an entry VM from its parts.
package entry
