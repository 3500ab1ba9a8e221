// Package examples embeds the example customer files in programs that use them.
//
// # Usage
//
//	c, err := customer.Parse(examples.PichlerFile, examples.Pichler)
package examples

import _ "embed" // embeds the customer files

// Names of the customer files, for use in messages.
const (
	PichlerFile     = "examples/pichler/customer.jsonc"
	VinetaNorteFile = "examples/vineta-norte/customer.jsonc"
)

// Pichler is the customer file of Pichler.
//
//go:embed pichler/customer.jsonc
var Pichler []byte

// VinetaNorte is the customer file of Viñeta Norte.
//
//go:embed vineta-norte/customer.jsonc
var VinetaNorte []byte
