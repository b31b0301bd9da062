package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	callTimeout    = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Call sends a request to the front that listens on a socket, and decodes its JSON answer into out. A request that the front rejects
// is a RejectedError, one without a front behind the socket ErrNoFront, one for a path that the front does not have ErrUnknownPath.
func Call(socket, method, path string, query url.Values, out any) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://front"+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	res, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("%w at %s: is it started with (control \"%s\")? (%w)", ErrNoFront, socket, socket, err)
	}
	defer func() { _ = res.Body.Close() }() // it was read
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("answer to %s: %w", path, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, out); err != nil {
			return fmt.Errorf("answer to %s: %w", path, err)
		}
		return nil
	case http.StatusConflict:
		var rejection struct {
			Fault string `json:"fault"`
		}
		if json.Unmarshal(body, &rejection) == nil && rejection.Fault != "" {
			return RejectedError(rejection.Fault)
		}
	case http.StatusNotFound:
		return fmt.Errorf("the front answered %s: %w: %s", res.Status, ErrUnknownPath, path)
	}
	return fmt.Errorf("the front answered %s: %w: %.200s", res.Status, ErrUnexpectedAnswer, strings.TrimSpace(string(body)))
}
