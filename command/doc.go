// Package command holds the subcommands of the cicadadale binary, a file per command.
package command
