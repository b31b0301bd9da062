package fakeserver

import (
	"bytes"
	"encoding/binary"
	"net"
	"time"

	"dapplerouter/pgwire"
)

// Client is a client of PostgreSQL's protocol that sends simple queries.
type Client struct {
	conn   net.Conn
	reader *pgwire.Reader
}

// Response is the response to a statement.
type Response struct {
	Rows          [][]string
	Tag           string
	Code, Message string // of an error, otherwise empty
	Detail        string
}

// Dial connects, sends the startup message and waits for the greeting.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{conn, pgwire.NewReader(conn, 4096, 1<<24)}
	if _, err := conn.Write(pgwire.AppendStartup(nil, "portal", "crm")); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if _, err := client.readResponse(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return client, nil
}

// DialAndQuery connects and sends the startup message and a statement in one write. It waits for both responses.
func DialAndQuery(address, sql string) (*Client, Response, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, Response{}, err
	}
	client := &Client{conn, pgwire.NewReader(conn, 4096, 1<<24)}
	if _, err = conn.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), sql)); err == nil {
		_, err = client.readResponse()
	}
	if err != nil {
		_ = conn.Close()
		return nil, Response{}, err
	}
	response, err := client.readResponse()
	return client, response, err
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Query sends a statement and waits for its response.
func (c *Client) Query(sql string) (Response, error) {
	if err := c.Send(sql); err != nil {
		return Response{}, err
	}
	return c.readResponse()
}

// Send sends a statement and does not wait for its response.
func (c *Client) Send(sql string) error {
	_, err := c.conn.Write(pgwire.AppendQuery(nil, sql))
	return err
}

// ReadResponse waits for the response to the earliest statement whose response was not read yet.
func (c *Client) ReadResponse() (Response, error) { return c.readResponse() }

// AwaitClose waits until the server sends a message or closes the connection, at most responseTimeout.
func (c *Client) AwaitClose() {
	if c.setResponseDeadline() != nil {
		return // the connection is closed
	}
	_, _, _ = c.reader.Next()
}

// responseTimeout is how long a client waits for a response.
const responseTimeout = 30 * time.Second

// setResponseDeadline makes reads fail after responseTimeout.
func (c *Client) setResponseDeadline() error {
	return c.conn.SetReadDeadline(time.Now().Add(responseTimeout))
}

// readResponse reads messages up to the next ReadyForQuery. An ErrorResponse before the end of the connection is a response,
// not an error.
func (c *Client) readResponse() (response Response, err error) {
	if err := c.setResponseDeadline(); err != nil {
		return response, err
	}
	for {
		typ, body, err := c.reader.Next()
		if err != nil {
			if response.Code != "" { // a fatal error ends the connection
				return response, nil
			}
			return response, err
		}
		switch typ {
		case 'D':
			response.Rows = append(response.Rows, parseRow(body))
		case 'C':
			response.Tag = string(body[:len(body)-1])
		case 'E':
			response.parseError(body)
		case 'Z':
			return response, nil
		}
	}
}

// parseRow returns the values of a DataRow message. A NULL is an empty string.
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

// parseError sets the error fields from the fields of an ErrorResponse message, each a type byte and a zero-terminated string.
func (r *Response) parseError(fields []byte) {
	for len(fields) > 1 {
		text, rest, _ := bytes.Cut(fields[1:], []byte{0})
		switch fields[0] {
		case 'C':
			r.Code = string(text)
		case 'M':
			r.Message = string(text)
		case 'D':
			r.Detail = string(text)
		}
		fields = rest
	}
}
