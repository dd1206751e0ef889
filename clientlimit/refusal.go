package clientlimit

// Refusal is the reason for which a client is refused.
type Refusal uint8

// The reasons. None of the refused requests has reached the server.
const (
	Accepted Refusal = iota
	HeadTooLarge
	BodyTooLarge
	TooSlow
	Malformed
	// NoRoom means that all requests together hold as many bytes as they may.
	NoRoom
	// NoConnection means that there are as many connections as there may be.
	NoConnection
	// Evicted is the reason of a connection that was closed to make room for another one.
	Evicted
	refusals
)

// String returns the reason as log lines have it.
func (r Refusal) String() string {
	return [refusals]string{"accepted", "head too large", "body too large", "too slow", "malformed request", "no room for requests",
		"no room for connections", "evicted"}[r]
}

// responses are the answers to refused requests. Connections that are refused or evicted get none. The answer for want of room does not state
// that the job never runs: the request may be a copy of one that runs already, which only the server could tell.
var responses = [refusals]string{
	HeadTooLarge: response("431 Request Header Fields Too Large"),
	BodyTooLarge: response("413 Request Entity Too Large"),
	TooSlow:      response("408 Request Timeout"),
	Malformed:    response("400 Bad Request"),
	NoRoom:       response("504 Gateway Timeout"),
}

func response(status string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
}
