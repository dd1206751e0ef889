// Package schema compiles schema files into services and generates typed stubs for callers.
package schema
