package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
)

// This file has the parts of PostgreSQL's protocol, version 3, that the stand-ins need.

const protocolVersion = 3 << 16

// message encodes a message.
func message(typ byte, body []byte) []byte {
	b := append(make([]byte, 0, len(body)+5), typ, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(b[1:], uint32(len(body)+4))
	return append(b, body...)
}

// cstrings joins texts, each with a zero byte behind it.
func cstrings(texts ...string) (b []byte) {
	for _, t := range texts {
		b = append(append(b, t...), 0)
	}
	return b
}

// parameter encodes a ParameterStatus message.
func parameter(name, value string) []byte { return message('S', cstrings(name, value)) }

// ready encodes ReadyForQuery.
func ready() []byte { return message('Z', []byte{'I'}) }

// greeting is a server's answer to a startup message.
func greeting() []byte {
	return append(append(message('R', []byte{0, 0, 0, 0}), parameter("server_version", "15.0")...), ready()...)
}

// oneRow encodes RowDescription, one DataRow of one column, and CommandComplete.
func oneRow(value, tag string) []byte {
	b := message('T', append([]byte{0, 1, 'd', 0}, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1))
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = append(b, message('D', append(row, value...))...)
	return append(b, message('C', cstrings(tag))...)
}

// errorResponse encodes an ErrorResponse.
func errorResponse(code, text string) []byte {
	return message('E', append(cstrings("SERROR", "VERROR", "C"+code, "M"+text), 0))
}

// readStartup reads a startup message.
func readStartup(r *bufio.Reader) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 8 || n > 10000 {
		return errors.New("a startup message of a wrong length")
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if binary.BigEndian.Uint32(body) != protocolVersion {
		return errors.New("another protocol version")
	}
	return nil
}

// readMessage reads a message.
func readMessage(r *bufio.Reader) (typ byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, errors.New("a message of a wrong length")
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for len(body) > 1 {
		text, rest, _ := bytes.Cut(body[1:], []byte{0})
		if body[0] == 'C' {
			return string(text)
		}
		body = rest
	}
	return ""
}

// reset ends a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
