package main

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gateway-stopped"] = gatewayStopped }

// proxy forwards connections to a target.
type proxy struct {
	listener net.Listener
	target   string
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l, target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go copyAndClose(from, to)
		go copyAndClose(to, from)
	}
}

// copyAndClose forwards one direction of a connection until it ends, and then ends both.
func copyAndClose(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// sites are two gateways with a link between them; group 0 lives here, group 1 there.
type sites struct {
	here, there *front
	groups      [2]*group
}

// startSites starts both gateways with the settings of the link that are the defaults, and waits until the link is up.
func (r *run) startSites(work time.Duration) (*sites, error) {
	s := site{zones: []string{"kathmandu", "pokhara"}, fronts: 1}
	x := &sites{}
	meeting, err := freeAddress()
	if err != nil {
		return nil, err
	}
	for i, name := range []string{"kathmandu", "pokhara"} {
		if x.groups[i], err = startGroup(r.rec, i, 3, []string{name}, work); err != nil {
			return nil, err
		}
		d := newDiscovery(r.rec, x.groups[i])
		for k := range d.entries {
			d.entries[k].Group = i
		}
		a, err := d.startAgent(name, 0)
		if err != nil {
			return nil, err
		}
		f, err := r.addFront(name, name, s, 0, a.address(), d.snapshot())
		if err != nil {
			return nil, err
		}
		peer, how := "pokhara", fmt.Sprintf("(address %q)", meeting)
		if i == 1 {
			peer, how = "kathmandu", fmt.Sprintf("(listen %q)", meeting)
		}
		if err := f.setFile(fmt.Sprintf("(gateway (here %s) (peer %s %s (groups %d) (plain loopback)))\n", name, peer, how, 1-i)); err != nil {
			return nil, err
		}
		f.arguments = "gateway --file " + filepath.Join(f.dir, "operator.sexp")
		if i == 0 {
			x.here = f
		} else {
			x.there = f
		}
	}
	for _, f := range []*front{x.there, x.here} {
		if err := f.start(); err != nil {
			return nil, err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("up%x", time.Now().UnixNano())
		if a := ask(r.rec, x.here, id, book(id, 1), 2*time.Second); a.err == nil && a.code == "" {
			return x, nil
		}
	}
	return nil, fmt.Errorf("the link is not up")
}

// book is a write with a mark.
func book(id string, cluster int) string {
	return fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x9f03') RETURNING data /* id=%s,c=book-table,d=2000,k=m%s,cluster=%d */", id, id, id, cluster)
}

// gatewayStopped restarts one site's gateway, as planned, while the other forwards writes to it.
func gatewayStopped(r *run) error {
	x, err := r.startSites(60 * time.Millisecond)
	if err != nil {
		return err
	}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	var mu sync.Mutex
	served, lost := 0, 0
	for k := range 8 {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				id := fmt.Sprintf("%02x%014x", k, i)
				a := ask(r.rec, x.here, id, book(id, 1), 2*time.Second)
				mu.Lock()
				switch {
				case a.err == nil && a.code == "":
					served++
				case x.groups[1].timesApplied(id) > 0:
					lost++
					r.rec.printf("lost: id=%s took effect at pokhara, and its client got %v", id, a)
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		x.there.signal(syscall.SIGTERM)
		stopped := time.Now()
		select {
		case <-x.there.exited:
			r.say("pokhara ended %v after SIGTERM", time.Since(stopped).Round(time.Millisecond))
		case <-time.After(4 * time.Second):
			return fmt.Errorf("pokhara did not end")
		}
		if err := x.there.start(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	done.Wait()
	r.say("%d writes served, %d took effect and were not answered by the process that had taken them", served, lost)
	if served == 0 {
		return fmt.Errorf("no write was served")
	}
	if lost > 0 {
		r.breaks("%d writes that pokhara had taken before it ended were not answered, although they took effect", lost)
	}
	return nil
}
