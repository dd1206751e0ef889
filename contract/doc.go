// Package contract models the obligations between the parties: jobs and their tasks, answers, slot grants,
// idempotency keys, quota shares and configuration revisions.
package contract
