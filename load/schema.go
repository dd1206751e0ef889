package load

import (
	_ "embed"
	"fmt"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/schema"
)

//go:embed load.proto
var loadSchema string

const (
	schemaFile  = "load.proto"
	serviceName = "load.v1.Tasks"
	kindReport  = "Report"
)

// shortKinds are the request kinds of short work. Random draws index this list, so another order changes the run of a
// seed.
var shortKinds = [...]string{"Quote", "Order", "Confirm"}

// isStoppable reports whether a straggling task of a kind may be stopped, so that its slot serves other work.
func isStoppable(kind string) bool { return kind == "Quote" || kind == kindReport }

// TaskServices returns the services of the built-in schema file.
func TaskServices() []*backend.Service {
	services, findings := schema.Load(schema.Source{schemaFile: loadSchema}, schemaFile)
	if len(findings) > 0 {
		panic(fmt.Sprintf("built-in schema file is invalid: %v", findings))
	}
	return services
}
