// Package load runs entry daemons, workers and the platform stand-in for the demo, load runs and randomised
// fault-injection runs.
package load
