// Package contract models what one party has promised another: jobs and their tasks, answers, slot grants, keys,
// quota shares and configuration revisions.
package contract
