// Package adminapi is a front's own door for its operator: HTTP on a Unix socket that only its owner may use. What is said
// there stands with each part; it decides nothing.
package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"
)

// Server listens on a socket.
type Server struct {
	l    net.Listener
	mux  *http.ServeMux
	http *http.Server
	path string
}

// longestPath is what a Unix socket's name may have, with its end.
const longestPath = 107

// Listen takes a socket. One that a process left behind is taken away; one that is in use is an error.
func Listen(path string) (*Server, error) {
	if len(path) > longestPath {
		return nil, fmt.Errorf("control socket %s: its path has %d bytes, and %d are the most: name a shorter one", path, len(path), longestPath)
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s is in use by another process", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		os.Remove(path)
	}
	mask := syscall.Umask(0o177) // nobody else's from its first moment
	l, err := net.Listen("unix", path)
	syscall.Umask(mask)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("control socket: %w", err)
	}
	mux := http.NewServeMux()
	return &Server{l: l, mux: mux, path: path, http: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}}, nil
}

// RejectedError is a question that can't be granted; its text goes to the operator.
type RejectedError string

func (f RejectedError) Error() string { return string(f) }

// HandleGet answers a question with what call gives, as JSON; Do is for what changes something.
func (s *Server) HandleGet(path string, call func(q url.Values) (any, error)) {
	s.handle("GET "+path, call)
}
func (s *Server) HandlePost(path string, call func(q url.Values) (any, error)) {
	s.handle("POST "+path, call)
}

func (s *Server) handle(pattern string, call func(q url.Values) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := call(r.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			out = map[string]string{"fault": err.Error()}
		}
		json.NewEncoder(w).Encode(out)
	})
}

// Start serves until Close.
func (s *Server) Start() { go s.http.Serve(s.l) }

// Close ends it and takes the socket away.
func (s *Server) Close() {
	s.http.Close()
	os.Remove(s.path)
}

// Call asks a front's door; the answer goes into out.
func Call(socket, method, path string, q url.Values, out any) error {
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://front"+path+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	res, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("no front answers at %s: is it started with (control \"%s\")? (%w)", socket, socket, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
		return err
	}
	switch res.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, out)
	case http.StatusConflict:
		var f struct{ Fault string }
		if json.Unmarshal(body, &f) == nil && f.Fault != "" {
			return RejectedError(f.Fault)
		}
	}
	return fmt.Errorf("the front answered %s: %.200s", res.Status, strings.TrimSpace(string(body)))
}
