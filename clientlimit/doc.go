// Package clientlimit bounds what clients can make a process hold: the bytes and the time of a request, the bytes of all requests
// together, and the number of connections. The decisions know nothing of the network; Listener and Conn apply them.
package clientlimit
