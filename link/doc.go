// Package link implements the connections between machines: from an entry VM to its peers and to workers.
package link
