// Monsoonlever is the operators' command line of monsoonlever.
//
// # Usage
//
//	monsoonlever --help
package main

import (
	"os"

	"monsoonlever/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
