// Package edge implements the daemon of a deployment whose jobs are answered on the connection of their submission. It
// connects the home of the jobs that arrive here, the pools of the workers that this VM owns, the links to the other
// members, and the platform's store, which provides the workers, the members and the operator's desired state.
package edge
