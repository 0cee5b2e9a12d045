package fake

import (
	"net"
	"path"
	"strings"
	"sync"
	"time"
)

// ZooKeeper is a ZooKeeper service with the features that the relay uses: create, delete, exists, getData,
// setData, getChildren, sync, multi, pings, one-time watches, and sessions that expire when their client is
// silent.
type ZooKeeper struct {
	Address string

	root     string // parent of the nodes written by SetNode; the only node with child watches
	listener net.Listener

	mu       sync.Mutex
	nodes    map[string]*zkNode // by path
	sessions map[int64]*zkSession
	lastID   int64 // last session ID given out
	zxid     int64 // ID of the newest change
	faults   zkFaults
	unfrozen *sync.Cond // on mu: signals the end of faults.frozen
}

type zkNode struct {
	data    string
	version int
	owner   int64 // session of an ephemeral node, 0 for other nodes
}

type zkSession struct {
	id            int64
	timeout       time.Duration
	lastRequestAt time.Time
	conn          *zkConn // nil while the session has no connection
}

// NewZooKeeper starts the service on a free loopback port; see NewZooKeeperAt.
func NewZooKeeper(root string) (*ZooKeeper, error) { return NewZooKeeperAt("127.0.0.1:0", root) }

// NewZooKeeperAt starts the service at an address. The node root and its parents exist from the start. It
// fails if it cannot listen on the address.
func NewZooKeeperAt(address, root string) (*ZooKeeper, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	z := &ZooKeeper{
		Address:  l.Addr().String(),
		root:     root,
		listener: l,
		nodes:    map[string]*zkNode{"/": {}},
		sessions: map[int64]*zkSession{},
	}
	z.unfrozen = sync.NewCond(&z.mu)
	for p := root; p != "/"; p = path.Dir(p) {
		z.nodes[p] = &zkNode{}
	}
	go z.accept(l)
	go z.endSilentSessions()
	return z, nil
}

// endSilentSessions expires each session whose client was silent for the session's timeout. It runs until the
// process ends, because sessions outlive Close.
func (z *ZooKeeper) endSilentSessions() {
	for range time.Tick(20 * time.Millisecond) {
		z.mu.Lock()
		for _, s := range z.sessions {
			if !z.faults.frozen && time.Since(s.lastRequestAt) >= s.timeout {
				z.endSession(s)
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
		go z.serve(&zkConn{Conn: c, watchedData: map[string]bool{}, out: make(chan zkReply, 1<<16)})
	}
}

// AddListener listens on another address, as another member of the ensemble would, and returns that address.
func (z *ZooKeeper) AddListener() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go z.accept(l)
	return l.Addr().String(), nil
}

// Close stops listening on Address and closes every connection. Sessions remain valid on the addresses that
// AddListener returned.
func (z *ZooKeeper) Close() {
	z.listener.Close()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.resetConnections()
}

// SetNode creates a child of the root or changes its data. Empty data deletes the node, as the expiry of its
// owner's session does.
func (z *ZooKeeper) SetNode(name, data string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	full := z.root + "/" + name
	switch n := z.nodes[full]; {
	case data == "":
		z.removeNode(full)
	case n == nil:
		z.addNode(full, &zkNode{data: data})
	default:
		n.data = data
		n.version++
		z.notifyWatches(full, eventDataChanged)
	}
}

// Nodes returns the paths of all nodes with a given prefix, in no particular order.
func (z *ZooKeeper) Nodes(prefix string) (paths []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for p := range z.nodes {
		if strings.HasPrefix(p, prefix) {
			paths = append(paths, p)
		}
	}
	return paths
}

// ExpireSessions ends every session and deletes its ephemeral nodes.
func (z *ZooKeeper) ExpireSessions() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, s := range z.sessions {
		z.endSession(s)
	}
}

// ResetConnections closes every connection; sessions remain valid.
func (z *ZooKeeper) ResetConnections() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.resetConnections()
}

func (z *ZooKeeper) resetConnections() {
	for _, s := range z.sessions {
		if s.conn != nil {
			s.conn.Close()
		}
	}
}

func (z *ZooKeeper) endSession(s *zkSession) {
	delete(z.sessions, s.id)
	if s.conn != nil {
		s.conn.Close()
	}
	for p, n := range z.nodes {
		if n.owner == s.id {
			z.removeNode(p)
		}
	}
}

func (z *ZooKeeper) addNode(p string, n *zkNode) {
	z.zxid++
	z.nodes[p] = n
	z.notifyWatches(path.Dir(p), eventChildrenChanged)
}

func (z *ZooKeeper) removeNode(p string) {
	if z.nodes[p] == nil {
		return
	}
	z.zxid++
	delete(z.nodes, p)
	z.notifyWatches(p, eventNodeDeleted)
	z.notifyWatches(path.Dir(p), eventChildrenChanged)
}
