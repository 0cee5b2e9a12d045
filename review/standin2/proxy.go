package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections to a target. While it is silent it passes nothing: open connections stay open, and
// new ones get no answer.
type proxy struct {
	address, target string

	mu     sync.Mutex
	wake   *sync.Cond
	silent bool
}

func (h *harness) newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	p := &proxy{address: l.Addr().String(), target: target}
	p.wake = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) setSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
	p.wake.Broadcast()
}

// awaitSound blocks while the proxy is silent.
func (p *proxy) awaitSound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.silent {
		p.wake.Wait()
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	p.awaitSound()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	ended := make(chan struct{}, 2)
	copyAll := func(to, from net.Conn) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			p.awaitSound()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyAll(server, client)
	go copyAll(client, server)
	<-ended
}
