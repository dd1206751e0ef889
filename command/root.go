package command

import (
	"github.com/urfave/cli/v3"
)

// Version is the version of the build.
const Version = "0.1.0"

// Root returns the command line.
func Root() *cli.Command {
	return &cli.Command{
		Name:    "cicadadale",
		Usage:   "dispatcher for short, urgent tasks",
		Version: Version,
		Commands: []*cli.Command{
			entryCommand(), standinCommand(), jobCommand(), schemaCommand(), configCommand(), timelineCommand(), demoCommand(),
			loadCommand(), soakCommand(), versionCommand(),
		},
	}
}
