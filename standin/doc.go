// Package standin implements stand-ins for the systems around the dispatcher, for tests and local runs: the platform's
// log, store and VM list, and workers. They use the same HTTP protocols and support fault injection.
package standin
