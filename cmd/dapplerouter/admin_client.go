package main

import (
	"errors"
	"fmt"
	"net/url"

	"dapplerouter/adminapi"
)

// adminClient calls the admin API of a front through its Unix socket. It is embedded in the commands that need a running front.
type adminClient struct {
	Control string `env:"DAPPLEROUTER_CONTROL" type:"path" placeholder:"SOCKET" help:"The front's control socket, as its fleet form names it."`
	File    string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the socket's name from."`
	JSON    bool   `help:"Lines of JSON instead."`
}

var errNoControlSocket = errors.New(
	"no control socket given: pass --control SOCKET, or --file FILE with a fleet form that has (control \"SOCKET\")")

// socket returns the path of the front's control socket: the one of --control, else the one that the operator's file names.
func (c *adminClient) socket() (string, error) {
	if c.Control != "" {
		return c.Control, nil
	}
	if c.File != "" {
		o, err := readOperatorFile(c.File)
		if err != nil {
			return "", err
		}
		if o.fleet != nil && o.fleet.Control != "" {
			return o.fleet.Control, nil
		}
	}
	return "", errNoControlSocket
}

// get reads the resource at a path of the admin API and decodes it into out.
func (c *adminClient) get(path string, out any) error {
	socket, err := c.socket()
	if err != nil {
		return err
	}
	return adminapi.Call(socket, "GET", path, nil, out)
}

// post posts parameters to a path of the admin API and decodes the response into out.
func (c *adminClient) post(path string, parameters url.Values, out any) error {
	socket, err := c.socket()
	if err != nil {
		return err
	}
	return adminapi.Call(socket, "POST", path, parameters, out)
}

// postAndPrint is post for a command whose response carries no data. It prints success, or the response with --json, and returns the exit
// code.
func (c *adminClient) postAndPrint(path string, parameters url.Values, success string) int {
	var out map[string]any
	if err := c.post(path, parameters, &out); err != nil {
		return reportCallError(err)
	}
	if c.JSON {
		printJSON(out)
	} else {
		fmt.Println(success)
	}
	return exitOK
}

// reportCallError prints the error of a call to the admin API, if any, and returns its exit code: exitNegative if the front rejected the
// request, exitUnusable for any other error, such as an unreachable front.
func reportCallError(err error) int {
	if err == nil {
		return exitOK
	}
	printError(err)
	var rejected adminapi.RejectedError
	if errors.As(err, &rejected) {
		return exitNegative
	}
	return exitUnusable
}
