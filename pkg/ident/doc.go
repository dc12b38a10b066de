// Package ident defines the types for ids and units that all other packages
// share. It has no behavior and no dependencies, so that any package may import
// it.
package ident
