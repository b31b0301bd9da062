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

// Call sends a request to the front that listens on a socket, and decodes its JSON response into out. If the front rejects the
// request, the error is a RejectedError. If no front accepts connections on the socket, it is ErrNoFront; if the front does not
// know the path, ErrUnknownPath; for any other status, ErrUnexpectedAnswer.
func Call(socket, method, path string, query url.Values, out any) error {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(method, "http://front"+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%w at %s: is it started with (control \"%s\")? (%w)", ErrNoFront, socket, socket, err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("answer to %s: %w", path, err)
	}
	switch response.StatusCode {
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
		return fmt.Errorf("the front answered %s: %w: %s", response.Status, ErrUnknownPath, path)
	}
	return fmt.Errorf("the front answered %s: %w: %.200s", response.Status, ErrUnexpectedAnswer, strings.TrimSpace(string(body)))
}
