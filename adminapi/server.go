// Package adminapi is a front's admin API: HTTP with JSON answers on a Unix socket that only its owner may use. The subsystems of a
// front register their handlers with a Server; the operator's command calls them with Call.
//
// A Server owns the socket's file from Listen to Close. Handlers run on a goroutine per connection, several at a time: each guards
// its own state. An answer is a JSON value with status 200, or {"fault": TEXT} with status 409 for a request that is rejected.
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
	maxPathBytes      = 107 // of a Unix socket's path, with its final zero byte
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Handler answers a request with a value to be encoded as JSON. An error rejects the request: its text goes to the operator.
type Handler func(query url.Values) (any, error)

// Server listens on a Unix socket.
type Server struct {
	path     string
	listener net.Listener
	mux      *http.ServeMux
	http     *http.Server
	serving  sync.WaitGroup
}

// Listen creates the socket at a path. A socket that a dead process left behind is replaced; for one that is in use the error is
// ErrSocketInUse, for a path that no socket can have ErrPathTooLong.
func Listen(path string) (*Server, error) {
	if len(path) > maxPathBytes {
		return nil, fmt.Errorf("control socket %s: %w: %d bytes, at most %d: name a shorter one", path, ErrPathTooLong, len(path), maxPathBytes)
	}
	if c, err := net.DialTimeout("unix", path, dialTimeout); err == nil {
		_ = c.Close() // it only probed for a listener
		return nil, fmt.Errorf("control socket %s: %w", path, ErrSocketInUse)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // where that fails, listening does and says why
	}
	mask := syscall.Umask(0o177) // the socket must be closed to others from its first moment
	l, err := net.Listen("unix", path)
	syscall.Umask(mask)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("control socket: %w", err), l.Close())
	}
	mux := http.NewServeMux()
	return &Server{
		path:     path,
		listener: l,
		mux:      mux,
		http:     &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
	}, nil
}

// HandleGet registers the handler of a path that reads something. Register all handlers before Start.
func (s *Server) HandleGet(path string, call Handler) { s.handle("GET "+path, call) }

// HandlePost registers the handler of a path that changes something.
func (s *Server) HandlePost(path string, call Handler) { s.handle("POST "+path, call) }

// HandleDeprecatedPost serves a path that another one replaces, for one more version. The first request for it is logged as a
// warning that names the replacement.
func (s *Server) HandleDeprecatedPost(path, replacement string, call Handler) {
	warn := sync.OnceFunc(func() {
		slog.Warn("deprecated admin API path requested", "path", path, "replacement", replacement)
	})
	s.HandlePost(path, func(query url.Values) (any, error) {
		warn()
		return call(query)
	})
}

func (s *Server) handle(pattern string, call Handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		out, err := call(r.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			out = map[string]string{"fault": err.Error()}
		}
		_ = json.NewEncoder(w).Encode(out) // fails for a client that is gone
	})
}

// Start serves requests until Close.
func (s *Server) Start() {
	s.serving.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("admin API stopped", "socket", s.path, "err", err)
		}
	})
}

// Close closes all connections, removes the socket and waits for the goroutine that Start began.
func (s *Server) Close() {
	_ = s.http.Close() // the socket is removed whatever fails
	s.serving.Wait()
	_ = os.Remove(s.path) // it may be gone already
}
