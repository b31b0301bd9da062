package main

import (
	"errors"
	"fmt"
	"net/url"

	"dapplerouter/adminapi"
)

// adminClient calls the admin API of a front, by its Unix socket. It is embedded in the commands that need a running front.
type adminClient struct {
	Control string `env:"DAPPLEROUTER_CONTROL" type:"path" placeholder:"SOCKET" help:"The front's control socket, as its fleet form names it."`
	File    string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the socket's name from."`
	JSON    bool   `help:"Lines of JSON instead."`
}

var errNoControlSocket = errors.New("no control socket is named: give --control SOCKET, or --file with a fleet form that has (control \"SOCKET\")")

// socket returns the path of the front's socket.
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

// get asks for the state that a path has.
func (c *adminClient) get(path string, out any) error {
	socket, err := c.socket()
	if err != nil {
		return err
	}
	return adminapi.Call(socket, "GET", path, nil, out)
}

// send has the front do what a path stands for.
func (c *adminClient) send(path string, parameters url.Values, out any) error {
	socket, err := c.socket()
	if err != nil {
		return err
	}
	return adminapi.Call(socket, "POST", path, parameters, out)
}

// post is send for a command whose answer is only that it was done; it returns the exit code.
func (c *adminClient) post(path string, parameters url.Values, success string) int {
	var out map[string]any
	if err := c.send(path, parameters, &out); err != nil {
		return exitCode(err)
	}
	if c.JSON {
		printJSON(out)
	} else {
		fmt.Println(success)
	}
	return exitOK
}

// exitCode prints the error of a call, if any, and returns its exit code: the front rejected the request, or could not be asked.
func exitCode(err error) int {
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
