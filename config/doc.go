// Package config reads the TOML settings of the processes, and decodes and checks the configuration documents, patches
// and log records. It collects all findings instead of stopping at the first.
package config
