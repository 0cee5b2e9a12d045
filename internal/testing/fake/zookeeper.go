package fake

import (
	"net"
	"path"
	"strings"
	"sync"
	"time"
)

// ZooKeeper is a tree of nodes with sessions, as far as the relay uses one: create, delete, exists, getData,
// setData, getChildren, sync, multi, pings, watches that fire once, and sessions that end by silence.
type ZooKeeper struct {
	Address string

	path     string // whose children Set writes
	l        net.Listener
	mu       sync.Mutex
	nodes    map[string]*znode
	sessions map[int64]*zsession
	lastID   int64
	zxid     int64
	faults   zfaults
	thawed   *sync.Cond
}

type znode struct {
	data    string
	version int
	owner   int64
}

type zsession struct {
	id      int64
	timeout time.Duration
	heard   time.Time
	conn    *zkConn
}

// NewZooKeeper starts the service on loopback. path and its parents exist from the start.
func NewZooKeeper(root string) (*ZooKeeper, error) { return NewZooKeeperAt("127.0.0.1:0", root) }

// NewZooKeeperAt starts it at an address.
func NewZooKeeperAt(address, root string) (*ZooKeeper, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	z := &ZooKeeper{
		Address:  l.Addr().String(),
		path:     root,
		l:        l,
		nodes:    map[string]*znode{"/": {}},
		sessions: map[int64]*zsession{},
	}
	z.thawed = sync.NewCond(&z.mu)
	for p := root; p != "/"; p = path.Dir(p) {
		z.nodes[p] = &znode{}
	}
	go z.accept(l)
	go z.endSilentSessions()
	return z, nil
}

// endSilentSessions runs for as long as the process does.
func (z *ZooKeeper) endSilentSessions() {
	for range time.Tick(20 * time.Millisecond) {
		z.mu.Lock()
		for _, s := range z.sessions {
			if !z.faults.frozen && time.Since(s.heard) >= s.timeout {
				z.end(s)
			}
		}
		z.mu.Unlock()
	}
}

func (z *ZooKeeper) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go z.serve(&zkConn{Conn: c, data: map[string]bool{}, out: make(chan zreply, 1<<16)})
	}
}

// Also listens on one more address, as another member of the ensemble does.
func (z *ZooKeeper) Also() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go z.accept(l)
	return l.Addr().String(), nil
}

// Close ends the first address, and every connection; sessions live on for what else listens.
func (z *ZooKeeper) Close() {
	z.l.Close()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cut()
}

// Set creates a node or changes its data; "" removes it, as the end of its owner's session does.
func (z *ZooKeeper) Set(name, data string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	full := z.path + "/" + name
	switch n := z.nodes[full]; {
	case data == "":
		z.remove(full)
	case n == nil:
		z.add(full, &znode{data: data})
	default:
		n.data = data
		n.version++
		z.fire(full, watchData)
	}
}

// Nodes lists the paths under a prefix that have nodes.
func (z *ZooKeeper) Nodes(prefix string) (all []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for p := range z.nodes {
		if strings.HasPrefix(p, prefix) {
			all = append(all, p)
		}
	}
	return all
}

// Expire forgets every session, with its ephemeral nodes.
func (z *ZooKeeper) Expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, s := range z.sessions {
		z.end(s)
	}
}

// Cut ends every connection; sessions live on.
func (z *ZooKeeper) Cut() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cut()
}

func (z *ZooKeeper) cut() {
	for _, s := range z.sessions {
		if s.conn != nil {
			s.conn.Close()
		}
	}
}

func (z *ZooKeeper) end(s *zsession) {
	delete(z.sessions, s.id)
	if s.conn != nil {
		s.conn.Close()
	}
	for p, n := range z.nodes {
		if n.owner == s.id {
			z.remove(p)
		}
	}
}

func (z *ZooKeeper) add(p string, n *znode) {
	z.zxid++
	z.nodes[p] = n
	z.fire(path.Dir(p), watchChildren)
}

func (z *ZooKeeper) remove(p string) {
	if z.nodes[p] == nil {
		return
	}
	z.zxid++
	delete(z.nodes, p)
	z.fire(p, watchDeleted)
	z.fire(path.Dir(p), watchChildren)
}
