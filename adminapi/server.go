// Package adminapi is the admin API of a front: HTTP with JSON responses on a Unix socket that only its owner may use. The
// subsystems of a front register their handlers with a Server; the operator's command calls them with Call.
//
// A Server owns the socket file from Listen to Close. Each connection has its own goroutine, so handlers run concurrently and
// must guard their state. A response is a JSON value with status 200, or {"fault": TEXT} with status 409 if the request is
// rejected.
package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxPathBytes      = 107 // maximum path length of a Unix socket; the kernel needs one more byte for the terminating zero
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Handler handles a request and returns the value to be encoded as JSON. An error rejects the request, and its text is sent to
// the operator.
type Handler func(query url.Values) (any, error)

// Server serves the admin API on a Unix socket.
type Server struct {
	path     string
	listener net.Listener
	mux      *http.ServeMux
	http     *http.Server
	serving  sync.WaitGroup
}

// Listen creates the socket at a path. It replaces a socket left behind by a dead process. The error is ErrSocketInUse if
// another process listens on the socket, and ErrPathTooLong if the path is too long for a socket.
func Listen(path string) (*Server, error) {
	if len(path) > maxPathBytes {
		return nil, fmt.Errorf("control socket %s: %w: %d bytes, at most %d: name a shorter one", path, ErrPathTooLong, len(path), maxPathBytes)
	}
	if conn, err := net.DialTimeout("unix", path, dialTimeout); err == nil {
		_ = conn.Close() // the connection was only a test for a listener
		return nil, fmt.Errorf("control socket %s: %w", path, ErrSocketInUse)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // if this fails, net.Listen fails too and reports the reason
	}
	oldMask := syscall.Umask(0o177) // no other user may connect, even before os.Chmod
	listener, err := net.Listen("unix", path)
	syscall.Umask(oldMask)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("control socket: %w", err), listener.Close())
	}
	mux := http.NewServeMux()
	return &Server{
		path:     path,
		listener: listener,
		mux:      mux,
		http:     &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
	}, nil
}

// HandleGet registers the handler of a path that only reads state. Register all handlers before Start.
func (s *Server) HandleGet(path string, handler Handler) { s.handle("GET "+path, handler) }

// HandlePost registers the handler of a path that changes state. Register all handlers before Start.
func (s *Server) HandlePost(path string, handler Handler) { s.handle("POST "+path, handler) }

// HandleDeprecatedPost registers the handler of a deprecated path, which is still served for one more version. The first
// request for it is logged as a warning that names its replacement.
func (s *Server) HandleDeprecatedPost(path, replacement string, handler Handler) {
	warn := sync.OnceFunc(func() {
		slog.Warn("deprecated admin API path requested", "path", path, "replacement", replacement)
	})
	s.HandlePost(path, func(query url.Values) (any, error) {
		warn()
		return handler(query)
	})
}

// handle registers a handler for a pattern of http.ServeMux and encodes its result.
func (s *Server) handle(pattern string, handler Handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := handler(r.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			out = map[string]string{"fault": err.Error()}
		}
		_ = json.NewEncoder(w).Encode(out) // fails only if the client is gone
	})
}

// Start serves requests in a goroutine until Close.
func (s *Server) Start() {
	s.serving.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("admin API stopped", "socket", s.path, "err", err)
		}
	})
}

// Close closes the listener and all connections, waits for the goroutine that Start began, if it was called, and removes the socket.
func (s *Server) Close() {
	_ = s.http.Close()     // the socket is removed in any case
	_ = s.listener.Close() // fails if http.Server.Close has closed it, which it does only after Start
	s.serving.Wait()
	_ = os.Remove(s.path) // it may be gone already
}
