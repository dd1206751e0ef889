package command

import (
	"github.com/urfave/cli/v3"
)

// Version is the version of the build.
const Version = "0.1.0"

// Root returns the root command.
func Root() *cli.Command {
	return &cli.Command{
		Name:    "cicadadale",
		Usage:   "dispatcher for short, urgent tasks",
		Version: Version,
		Description: "Entry daemons accept jobs of up to 500 tasks from callers and run each task at most once on a worker of " +
			"the service that a schema file declares.\n\nTo try it: cicadadale demo. To run it: start `standin` (or point " +
			"the settings at a platform), check the settings with `entry --settings FILE --check`, start `entry --settings " +
			"FILE`, send jobs with `job`, open http://ADMIN-ADDRESS/ and trace a task with `timeline`. For operators: " +
			"docs/OPERATIONS.md.",
		Commands: []*cli.Command{
			entryCommand(), edgeCommand(), standinCommand(), jobCommand(), schemaCommand(), configCommand(),
			timelineCommand(), logsCommand(), explainCommand(), memberCommand(), demoCommand(), loadCommand(), soakCommand(), edgeSoakCommand(), versionCommand(),
		},
	}
}
