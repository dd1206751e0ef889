// Package admin is the HTTP server for operators. It serves health, readiness, metrics, the state of the daemon, its
// recent events and a status page.
package admin
