// Package config reads the TOML settings of the processes and collects all findings about them.
package config
