// Package standin holds small stand-ins for the systems that the dispatcher is used with: the platform's log and
// VM list, and workers. They speak the same HTTP protocols and can be told to fail.
package standin
