package main

import (
	"net"
	"time"
)

// hop passes the bytes of connections on to an address, each after a delay, as a network between two data centres does.
type hop struct {
	l     net.Listener
	to    string
	delay time.Duration // one way
}

// segment is bytes that came at a time; nil bytes stand for the end.
type segment struct {
	bytes []byte
	at    time.Time
}

func newHop(to string, delay time.Duration) *hop {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h := &hop{l, to, delay}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				to, err := net.DialTimeout("tcp", h.to, 2*time.Second)
				if err != nil {
					_ = from.(*net.TCPConn).SetLinger(0)
					_ = from.Close()
					return
				}
				go h.pass(from, to)
				h.pass(to, from)
			}()
		}
	}()
	return h
}

func (h *hop) address() string { return h.l.Addr().String() }

// pass passes bytes on in one direction, in order, each part when its delay is over.
func (h *hop) pass(from, to net.Conn) {
	segments := make(chan segment, 1024)
	go func() {
		defer close(segments)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				segments <- segment{b[:n], time.Now()}
			}
			if err != nil {
				segments <- segment{nil, time.Now()}
				return
			}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.at.Add(h.delay)))
		if s.bytes == nil {
			_ = to.Close()
			continue
		}
		if _, err := to.Write(s.bytes); err != nil {
			_ = from.Close()
		}
	}
}
