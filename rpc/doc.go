// Package rpc is the callers' gRPC front end: the server side, and a client that fetches job ids ahead of need and
// turns to another entry VM when one is lost.
package rpc
