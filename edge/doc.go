// Package edge is the daemon of a deployment whose jobs are answered on the connection of their submission. It joins the
// parts: the home of the jobs that arrive here, the pools of the workers that this VM owns, the links to the other
// members, and what the platform's store says of workers, members and the operator's desired state.
package edge
