// Package command defines the subcommands of the cicadadale binary.
package command
