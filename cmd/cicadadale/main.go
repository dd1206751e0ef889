// Command cicadadale is the dispatcher: its daemons, the stand-ins, and the tools for callers and operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cicadadale/cicadadale/command"
)

func main() {
	if err := command.Root().Run(context.Background(), os.Args); err != nil {
		// A failure to write to stderr cannot be reported.
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
