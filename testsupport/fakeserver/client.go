package fakeserver

import (
	"bytes"
	"encoding/binary"
	"net"
	"time"

	"dapplerouter/pgwire"
)

// Client is a client of the protocol that sends one statement at a time.
type Client struct {
	conn   net.Conn
	reader *pgwire.Reader
}

// Response is the response to a statement.
type Response struct {
	Rows          [][]string
	Tag           string
	Code, Message string // of an error
	Detail        string
}

// Dial connects and waits for the greeting.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &Client{c, pgwire.NewReader(c, 4096, 1<<24)}
	if _, err := c.Write(pgwire.AppendStartup(nil, "portal", "crm")); err != nil {
		_ = c.Close()
		return nil, err
	}
	if _, err := cl.answer(); err != nil {
		_ = c.Close()
		return nil, err
	}
	return cl, nil
}

// DialAndQuery connects and sends the startup message and a statement in one write, and waits for both answers.
func DialAndQuery(address, sql string) (*Client, Response, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, Response{}, err
	}
	cl := &Client{c, pgwire.NewReader(c, 4096, 1<<24)}
	if _, err = c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), sql)); err == nil {
		_, err = cl.answer()
	}
	if err != nil {
		_ = c.Close()
		return nil, Response{}, err
	}
	a, err := cl.answer()
	return cl, a, err
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Query sends a statement and waits for its answer.
func (c *Client) Query(sql string) (Response, error) {
	if err := c.Send(sql); err != nil {
		return Response{}, err
	}
	return c.answer()
}

// Send sends a statement and does not wait.
func (c *Client) Send(sql string) error {
	_, err := c.conn.Write(pgwire.AppendQuery(nil, sql))
	return err
}

// ReadResponse waits for the answer of the first statement that has none yet.
func (c *Client) ReadResponse() (Response, error) { return c.answer() }

// AwaitClose waits until the other side sends a message or closes the connection, at most answerTimeout.
func (c *Client) AwaitClose() {
	if c.setAnswerDeadline() != nil {
		return // it is closed
	}
	_, _, _ = c.reader.Next()
}

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 30 * time.Second

func (c *Client) setAnswerDeadline() error {
	return c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
}

func (c *Client) answer() (a Response, err error) {
	if err := c.setAnswerDeadline(); err != nil {
		return a, err
	}
	for {
		typ, body, err := c.reader.Next()
		if err != nil {
			if a.Code != "" { // a fatal error ends the connection
				return a, nil
			}
			return a, err
		}
		switch typ {
		case 'D':
			a.Rows = append(a.Rows, parseRow(body))
		case 'C':
			a.Tag = string(body[:len(body)-1])
		case 'E':
			a.parseError(body)
		case 'Z':
			return a, nil
		}
	}
}

// parseRow reads a DataRow message; a NULL is an empty string.
func parseRow(body []byte) (row []string) {
	at := 2
	for range binary.BigEndian.Uint16(body) {
		size := max(0, int(int32(binary.BigEndian.Uint32(body[at:]))))
		at += 4
		row = append(row, string(body[at:at+size]))
		at += size
	}
	return row
}

// parseError reads the fields of an ErrorResponse message: a type byte and a string each.
func (a *Response) parseError(fields []byte) {
	for len(fields) > 1 {
		text, rest, _ := bytes.Cut(fields[1:], []byte{0})
		switch fields[0] {
		case 'C':
			a.Code = string(text)
		case 'M':
			a.Message = string(text)
		case 'D':
			a.Detail = string(text)
		}
		fields = rest
	}
}
