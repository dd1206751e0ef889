// Package soak runs edge daemons as separate processes under random faults, and checks what the users' platform requires
// from what clients, workers and the store see: no task runs twice at the same time, a job that was refused has not run, an
// answer is complete, a planned stop cuts no request, and all are served again after the faults.
package soak
