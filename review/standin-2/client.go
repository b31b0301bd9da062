package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	code  string // SQLSTATE of an error, "" if the request was served
	value string
	err   error // the connection ended without an answer
	took  time.Duration
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return fmt.Sprintf("no answer (%v)", a.err)
	case a.code != "":
		return "error " + a.code
	}
	return "served " + a.value
}

// client is a connection of a client to a front.
type client struct {
	rec   *record
	front string
	conn  net.Conn
	r     *bufio.Reader
}

// dial opens a connection and writes the startup message.
func dial(rec *record, f *front) (*client, error) {
	c, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{rec: rec, front: f.name, conn: c, r: bufio.NewReader(c)}
	body := append([]byte{0, 3, 0, 0}, append(cstrings("user", "portal", "database", "crm"), 0)...)
	if _, err := c.Write(message(0, body)[1:]); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	for {
		typ, _, err := readMessage(cl.r)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		if typ == 'Z' {
			return cl, nil
		}
	}
}

// ask sends a request and waits for its answer, for as long as the client waits and a second.
func (c *client) ask(id, sql string, wait time.Duration) (a answer) {
	c.rec.printf("client -> %s: %s", c.front, sql)
	sent := time.Now()
	defer func() {
		a.took = time.Since(sent)
		c.rec.printf("client <- %s: id=%s %v after %v", c.front, id, a, a.took.Round(time.Millisecond))
	}()
	if _, err := c.conn.Write(message('Q', cstrings(sql))); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetReadDeadline(sent.Add(wait + time.Second))
	for {
		typ, body, err := readMessage(c.r)
		if err != nil {
			if a.code != "" {
				return a
			}
			return answer{err: err}
		}
		switch typ {
		case 'D':
			if len(body) >= 6 {
				a.value = string(body[6:])
			}
		case 'E':
			a.code = errorCode(body)
		case 'Z':
			return a
		}
	}
}

// ask opens a connection for a single request.
func ask(rec *record, f *front, id, sql string, wait time.Duration) answer {
	c, err := dial(rec, f)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	return c.ask(id, sql, wait)
}
