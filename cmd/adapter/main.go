// Command adapter answers the bench on standard input and output.
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
