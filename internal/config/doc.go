// Package config reads and checks the settings of toucand, a TOML file.
//
// [Load] fills in defaults, rejects unknown keys, and reports all invalid
// values in one error. [DecodeFile] and [Duration] also serve other processes
// with TOML settings.
package config
