// Package hostile tests that clients outside the limits cannot end a process: a crowd of such clients attacks one process of
// the system, which must keep running, stay within the memory and descriptors of its VM and answer an ordinary job.
package hostile
