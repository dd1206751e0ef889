// Command cicadadale is the dispatcher: the entry daemon, the stand-ins and the tools of callers and operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cicadadale/cicadadale/command"
)

func main() {
	if err := command.Root().Run(context.Background(), os.Args); err != nil {
		// There is nowhere left to report a failure to write to stderr.
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
