package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// This file has the messages of version 3 of PostgreSQL's protocol that the stand-ins need, both sides.

// message returns a message with a type byte.
func message(typ byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4))
	return append(b, body...)
}

// readMessage reads a message with a type byte.
func readMessage(r *bufio.Reader) (typ byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 1<<20 {
		return 0, nil, fmt.Errorf("message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// readStartup reads the startup message.
func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:])) - 4
	if n < 4 || n > 10000 {
		return fmt.Errorf("startup of %d bytes", n)
	}
	_, err := io.ReadFull(r, make([]byte, n))
	return err
}

func parameter(name, value string) []byte {
	return message('S', []byte(name+"\x00"+value+"\x00"))
}

func ready() []byte { return message('Z', []byte{'I'}) }

func greeting() []byte { return append(message('R', []byte{0, 0, 0, 0}), ready()...) }

// row returns the messages of a result of one row with one column.
func row(value, tag string) []byte {
	head := binary.BigEndian.AppendUint16(nil, 1)
	head = append(head, "data\x00"...)
	head = append(head, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	d := binary.BigEndian.AppendUint16(nil, 1)
	d = binary.BigEndian.AppendUint32(d, uint32(len(value)))
	d = append(d, value...)
	b := append(message('T', head), message('D', d)...)
	return append(b, message('C', []byte(tag+"\x00"))...)
}

func errorMessage(code, text string) []byte {
	return message('E', []byte("SERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// field returns a value of the comment of a statement.
func field(sql, name string) string {
	from := strings.LastIndex(sql, "/*")
	to := strings.LastIndex(sql, "*/")
	if from < 0 || to < from {
		return ""
	}
	for _, f := range strings.Split(sql[from+2:to], ",") {
		if k, v, ok := strings.Cut(strings.TrimSpace(f), "="); ok && k == name {
			return v
		}
	}
	return ""
}

// client is a connection of a client to a front.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	status string // served, refused, failed, or closed: the connection ended without an answer
	code   string
	value  string
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00portal\x00database\x00crm\x00\x00"...)
	start := binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))
	c := &client{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = conn.Write(append(start, body...)); err == nil {
		err = c.await('Z')
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) await(want byte) error {
	for {
		typ, _, err := readMessage(c.r)
		if err != nil || typ == want {
			return err
		}
		if typ == 'E' {
			return fmt.Errorf("error at the startup")
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a statement and waits for its answer, for the given time at most.
func (c *client) query(sql string, wait time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := c.conn.Write(message('Q', append([]byte(sql), 0))); err != nil {
		return answer{status: "closed", code: err.Error()}
	}
	a := answer{}
	for {
		typ, body, err := readMessage(c.r)
		if err != nil {
			if a.status == "refused" || a.status == "failed" {
				return a
			}
			return answer{status: "closed", code: err.Error()}
		}
		switch typ {
		case 'D':
			if len(body) >= 6 {
				a.value = string(body[6:])
			}
		case 'C':
			a.status = "served"
		case 'I':
			a.status = "empty"
		case 'E':
			a.status = "failed"
			for _, f := range bytes.Split(body, []byte{0}) {
				if len(f) > 1 && f[0] == 'C' {
					a.code = string(f[1:])
				}
			}
			if a.code == "53300" || a.code == "57P03" {
				a.status = "refused"
			}
		case 'Z':
			return a
		}
	}
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
