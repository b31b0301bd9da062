package fakeserver

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"dapplerouter/pgwire"
)

// Client speaks the protocol as a simple client does, one statement at a time.
type Client struct {
	conn net.Conn
	r    *pgwire.Reader
}

// Answer is what came back for a statement.
type Answer struct {
	Rows          [][]string
	Tag           string
	Code, Message string // of an error
	Detail        string
}

// Dial connects and says hello.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &Client{c, pgwire.NewReader(c, 4096, 1<<24)}
	if _, err := c.Write(pgwire.AppendStartup(nil, "portal", "crm")); err != nil {
		c.Close()
		return nil, err
	}
	if _, err := cl.answer(); err != nil {
		c.Close()
		return nil, err
	}
	return cl, nil
}

// DialAndQuery connects, says hello and sends a statement right behind it, as clients may, and waits for both answers.
func DialAndQuery(address, sql string) (*Client, Answer, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, Answer{}, err
	}
	cl := &Client{c, pgwire.NewReader(c, 4096, 1<<24)}
	if _, err = c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), sql)); err == nil {
		_, err = cl.answer()
	}
	if err != nil {
		c.Close()
		return nil, Answer{}, err
	}
	a, err := cl.answer()
	return cl, a, err
}

// Close ends the connection.
func (c *Client) Close() { c.conn.Close() }

// Query sends a statement and waits for its whole answer.
func (c *Client) Query(sql string) (Answer, error) {
	if err := c.Send(sql); err != nil {
		return Answer{}, err
	}
	return c.answer()
}

// Send sends a statement and waits for nothing.
func (c *Client) Send(sql string) error {
	_, err := c.conn.Write(pgwire.AppendQuery(nil, sql))
	return err
}

// Answer waits for the whole answer of the first statement that has none yet.
func (c *Client) Answer() (Answer, error) { return c.answer() }

// AwaitEnd waits until the other side ends the connection, for 30 s at most.
func (c *Client) AwaitEnd() {
	c.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	c.r.Next()
}

func (c *Client) answer() (a Answer, err error) {
	c.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	for {
		typ, body, err := c.r.Next()
		if err != nil {
			if a.Code != "" { // a fatal error ends the connection
				return a, nil
			}
			return a, err
		}
		switch typ {
		case 'D':
			var row []string
			for n, at := int(binary.BigEndian.Uint16(body)), 2; n > 0; n-- {
				size := int(int32(binary.BigEndian.Uint32(body[at:])))
				at += 4
				row = append(row, string(body[at:at+max(size, 0)]))
				at += max(size, 0)
			}
			a.Rows = append(a.Rows, row)
		case 'C':
			a.Tag = string(body[:len(body)-1])
		case 'E':
			for b := body; len(b) > 1; {
				end := 1
				for end < len(b) && b[end] != 0 {
					end++
				}
				switch v := string(b[1:end]); b[0] {
				case 'C':
					a.Code = v
				case 'M':
					a.Message = v
				case 'D':
					a.Detail = v
				}
				b = b[min(end+1, len(b)):]
			}
		case 'Z':
			return a, nil
		}
	}
}

// List serves the list of members over HTTP as the list's service does: whole, and a watch that stays open.
func (g *Group) List() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(g.Listed())
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for {
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
		}
	}))
}

// Listed is the whole list in the service's form.
func (g *Group) Listed() []byte {
	type entry struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   int64   `json:"since_ms"`
		Role    string  `json:"role"`
	}
	var all []entry
	for _, m := range append(append([]*Member{}, g.Members...), g.Guests...) {
		role := "replica"
		if m.primary() {
			role = "primary"
		}
		name := m.Name
		if m.g != g { // groups name their members alike
			name = fmt.Sprintf("guest-%d-%s", m.g.ID, name)
		}
		all = append(all, entry{name, m.Address(), "a", "m", m.g.ID, "up", 1, 0, role})
	}
	b, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": all})
	if err != nil {
		panic(fmt.Sprint("a list that is no JSON: ", err))
	}
	return b
}
