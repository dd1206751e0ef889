// Package soak runs edge daemons as separate processes under random faults and checks the guarantees of the users'
// platform as clients, workers and the store observe them: no task runs twice at the same time, a refused job has not
// run, an answer is complete, a planned stop interrupts no request, and every daemon serves requests after the faults.
package soak
