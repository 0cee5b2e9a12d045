package zookeeper

import (
	"context"
	"fmt"
	"time"

	"capersail/internal/wire/splice"
)

const (
	// The session time-out divided by watchDivisor bounds the dial and the writes of a watch, and is the
	// interval between its pings.
	watchDivisor = 3
	// watchSilenceParts is how many of these parts of the session time-out the service may send nothing.
	// After that the connection is given up, as the service may have lost the session.
	watchSilenceParts = 2
	// watchBufferBytes is the size of the read buffer of a watch's connection.
	watchBufferBytes = 4096
)

// watchConn is a connection of a Client, with the requests outstanding on it.
type watchConn struct {
	*conn
	timeout         time.Duration // session time-out granted
	lastXid         int32
	nodeByXid       map[int32]string // node names of the outstanding data requests, by xid
	childrenXid     int32            // xid of the outstanding request for children, 0 if none
	childrenChanged bool             // the children have changed since that request
	snapshotDue     bool             // the complete list has not been published yet
}

// sendWatch sends a request that reads path and sets a watch on it. It returns the request's xid.
func (n *watchConn) sendWatch(op int32, path string) (int32, error) {
	n.lastXid++
	request := encoder{}.i32(n.lastXid).i32(op).bytes([]byte(path)).flag(true)
	return n.lastXid, n.writeFrame(request, n.timeout/watchDivisor)
}

func (n *watchConn) sendPing() error {
	return n.writeFrame(encoder{}.i32(xidPing).i32(opPing), n.timeout/watchDivisor)
}

// connect connects to the next address and begins or resumes the session.
func (c *Client) connect(ctx context.Context) (*watchConn, error) {
	address := c.Addresses[c.nextAddress%len(c.Addresses)]
	c.nextAddress++
	n, err := dialConn(ctx, address, c.SessionTimeout/watchDivisor, c.Requests.Clock, watchBufferBytes)
	if err != nil {
		return nil, err
	}
	wanted := c.state
	wanted.timeout = c.SessionTimeout
	granted, err := n.handshake(wanted)
	if err != nil {
		n.Close()
		return nil, err
	}
	c.state = granted
	c.connectFailures = connectFailures{}
	return &watchConn{
		conn:        n,
		timeout:     granted.timeout,
		nodeByXid:   map[int32]string{},
		snapshotDue: true,
	}, nil
}

// watchPath opens a connection and reads the complete endpoint list and then every change, with pings, until
// the connection ends. It returns why the connection ended.
func (c *Client) watchPath(ctx context.Context) error {
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer n.Close()
	if n.childrenXid, err = n.sendWatch(opGetChildren, c.Path); err != nil {
		return err
	}
	silenceTimeout := n.timeout * watchSilenceParts / watchDivisor
	lastFrameAt := n.clock.Now()
	for {
		p, err := n.readFrame(n.clock.Now() + n.timeout/watchDivisor)
		if splice.TimedOut(err) && n.clock.Now()-lastFrameAt < silenceTimeout {
			if err := n.sendPing(); err != nil {
				return fmt.Errorf("ping: %w", err)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		lastFrameAt = n.clock.Now()
		if err := c.handleFrame(n, &decoder{rest: p}); err != nil {
			return err
		}
	}
}

// handleFrame handles a frame: an event, or the answer to a request.
func (c *Client) handleFrame(n *watchConn, d *decoder) error {
	xid, zxid, code := d.i32(), d.i64(), d.i32()
	if zxid > 0 {
		c.state.lastZxid = zxid
	}
	switch xid {
	case xidPing:
	case xidEvent:
		kind, state, path := d.i32(), d.i32(), string(d.bytes())
		if state == stateExpired {
			return errExpired
		}
		return c.handleEvent(n, kind, path)
	case n.childrenXid:
		if code != int32(OK) && code != codeNoNode {
			return fmt.Errorf("list children of %s: ZooKeeper error code %d", c.Path, code)
		}
		n.childrenXid = 0
		return c.handleChildren(n, d, code)
	default:
		name, known := n.nodeByXid[xid]
		if !known {
			return fmt.Errorf("answer to unknown request %d", xid)
		}
		delete(n.nodeByXid, xid)
		c.handleNodeData(n, name, d, code)
	}
	if d.truncated {
		return errTruncated
	}
	return nil
}

// readChildren decodes the names of the children of a node. A node that does not exist has none.
func readChildren(d *decoder, code int32) (map[string]bool, error) {
	present := map[string]bool{}
	if code != int32(OK) {
		return present, nil
	}
	count := d.i32()
	for i := int32(0); i < count && !d.truncated; i++ {
		present[string(d.bytes())] = true
	}
	if d.truncated {
		return nil, fmt.Errorf("decode list of children: %w", errTruncated)
	}
	return present, nil
}
