// Package schemas embeds the schema files of the deployments and the options file that they import.
package schemas

import _ "embed"

// Options is the text of cicadadale/options.proto.
//
//go:embed cicadadale/options.proto
var Options string

// Glashaus is the schema file of the booking service.
//
//go:embed glashaus.proto
var Glashaus string

// Wakala is the schema file of the order service.
//
//go:embed wakala.proto
var Wakala string
