package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"dapplerouter/config"
	"dapplerouter/deployment"
)

type checkCommand struct {
	File   string `arg:"" help:"The operator's file."`
	Config string `type:"path" placeholder:"FILE" help:"The configuration of an instance (EDGE_CONFIG's file); the file is checked against it too."`
	JSON   bool   `help:"A line of JSON for each error instead."`
}

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

// loadInstanceFile reads an instance's configuration from a file, whatever the environment names.
func loadInstanceFile(path string) (*deployment.Instance, error) {
	return deployment.Load(func(name string) string {
		if name == deployment.FileVariable {
			return path
		}
		return ""
	}, os.ReadFile)
}

// splitErrors returns the single errors of an operator's file, or err alone where it is of another kind.
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

// printErrors writes what makes a file unusable, a line each, and returns the exit code.
func printErrors(w io.Writer, err error) int {
	for _, err := range splitErrors(err) {
		_, _ = fmt.Fprintln(w, err) // a closed pipe does not change the result
	}
	return exitUnusable
}
