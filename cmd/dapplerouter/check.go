package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"dapplerouter/config"
	"dapplerouter/deployment"
)

// checkCommand validates an operator's file, with --config also against the configuration of an instance.
type checkCommand struct {
	File   string `arg:"" help:"The operator's file."`
	Config string `type:"path" placeholder:"FILE" help:"The configuration of an instance (EDGE_CONFIG's file); the file is checked against it too."`
	JSON   bool   `help:"A line of JSON for each error instead."`
}

// run exits with exitNegative if the operator's file has errors, and with exitUnusable if it can't be read or the instance's configuration
// can't be used.
func (c *checkCommand) run() int {
	o, err := readOperatorFile(c.File)
	if err == nil && c.Config != "" {
		instance, configErr := loadInstanceFile(c.Config)
		if configErr != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", c.Config, configErr)
			return exitUnusable
		}
		err = o.checkAgainst(instance)
	}
	var errorList config.ErrorList
	switch {
	case err == nil:
		if !c.JSON {
			fmt.Printf("%s: good\n", c.File)
		}
		return exitOK
	case !errors.As(err, &errorList):
		printError(err)
		return exitUnusable
	}
	for _, e := range errorList {
		if c.JSON {
			printJSON(map[string]any{"file": e.File, "line": e.Line, "column": e.Column, "what": e.Message, "remedy": e.Remedy})
		} else {
			fmt.Fprintln(os.Stderr, e)
		}
	}
	return exitNegative
}

// loadInstanceFile reads an instance's configuration from a file. It ignores the environment, including EDGE_CONFIG.
func loadInstanceFile(path string) (*deployment.Instance, error) {
	return deployment.Load(func(name string) string {
		if name == deployment.FileVariable {
			return path
		}
		return ""
	}, os.ReadFile)
}

// splitErrors returns the errors of a config.ErrorList one by one, or err alone if it is no such list.
func splitErrors(err error) []error {
	var errorList config.ErrorList
	if !errors.As(err, &errorList) {
		return []error{err}
	}
	var all []error
	for _, e := range errorList {
		all = append(all, e)
	}
	return all
}

// printErrors writes the errors that make a file unusable, one a line, and returns exitUnusable.
func printErrors(w io.Writer, err error) int {
	for _, err := range splitErrors(err) {
		_, _ = fmt.Fprintln(w, err) // a closed pipe does not change the result
	}
	return exitUnusable
}
