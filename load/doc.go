// Package load runs entry daemons, workers and the platform stand-in in one process, for the demo, load experiments
// and randomised runs.
package load
