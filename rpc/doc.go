// Package rpc is the gRPC front end for callers: the server, and a client that prefetches job ids and fails over to
// another entry VM.
package rpc
