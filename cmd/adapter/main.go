// Command adapter lets the bench drive the router: it reads batches of events from standard input and writes the router's actions to
// standard output.
package main

import (
	"fmt"
	"os"

	"dapplerouter/adapter"
	"dapplerouter/router"
)

func main() {
	if err := adapter.Run(os.Stdin, os.Stdout, router.New); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
