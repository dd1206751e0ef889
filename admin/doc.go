// Package admin serves operators over HTTP: health and readiness, metrics, the state of the daemon, its recent events
// and a status page.
package admin
