// Command madderwing is an API gateway: the gateways that carry traffic, the
// control nodes that hold the configuration and deliver it, and the tools for their
// operators.
package main

import (
	"fmt"
	"os"

	_ "runtime/cgo" // the program is linked against the system's C library
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "madderwing: "+err.Error())
		os.Exit(exitCode(err))
	}
}
