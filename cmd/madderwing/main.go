// Command madderwing is an API gateway. It runs gateways, which carry traffic, and control
// nodes, which store and deliver the configuration, and provides the operators' commands.
package main

import (
	"fmt"
	"os"

	_ "runtime/cgo" // links the program against the system's C library
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "madderwing: "+err.Error())
		os.Exit(exitCode(err))
	}
}
