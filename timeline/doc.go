// Package timeline records the events of a process in a bounded ring and merges the rings of several processes into
// one causal order.
package timeline
