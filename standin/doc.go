// Package standin implements stand-ins for the systems around the dispatcher, for tests and local runs: the platform's
// log, store and VM list, and workers. They use the HTTP protocols of the real systems and support fault injection.
package standin
