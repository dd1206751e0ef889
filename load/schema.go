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

// shortKinds are the request kinds of short work, in the order in which they are drawn.
var shortKinds = [...]string{"Quote", "Order", "Confirm"}

// stoppableKinds may be stopped when they straggle, so that their slot serves other work.
func stoppableKind(kind string) bool { return kind == "Quote" || kind == kindReport }

// TaskServices reads the schema file of the load tool.
func TaskServices() []*backend.Service {
	services, findings := schema.Load(schema.Source{schemaFile: loadSchema}, schemaFile)
	if len(findings) > 0 {
		panic(fmt.Sprintf("built-in schema file is invalid: %v", findings))
	}
	return services
}
