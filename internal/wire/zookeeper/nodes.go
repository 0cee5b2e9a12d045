package zookeeper

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// handleFrame takes one frame: an event, or the answer to a request.
func (c *Client) handleFrame(n *conn, r *decoder) error {
	xid, zxid, code := r.i32(), r.i64(), r.i32()
	if zxid > 0 {
		c.lastZxid = zxid
	}
	switch {
	case xid == xidPing:
	case xid == xidEvent:
		kind, state, path := r.i32(), r.i32(), string(r.bytes())
		if state == stateExpired {
			return errExpired
		}
		return c.handleEvent(n, kind, path)
	case xid == n.childrenXid:
		if code != 0 && code != codeNoNode {
			return fmt.Errorf("children of %s: error %d", c.Path, code)
		}
		n.childrenXid = 0
		return c.handleChildren(n, r, code)
	default:
		name, ok := n.nodeByXid[xid]
		if !ok {
			return fmt.Errorf("answer to unknown request %d", xid)
		}
		delete(n.nodeByXid, xid)
		c.handleNodeData(n, name, r, code)
	}
	if r.truncated {
		return errors.New("frame cut off")
	}
	return nil
}

// handleEvent asks again for what a watch says has changed; a watch fires once, and asking sets it again.
func (c *Client) handleEvent(n *conn, kind int32, path string) (err error) {
	const deleted, dataChanged = 2, 3
	switch {
	case path == c.Path && n.childrenXid != 0:
		n.childrenChanged = true
	case path == c.Path:
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3)
	case kind == dataChanged:
		err = c.fetchNode(n, strings.TrimPrefix(path, c.Path+"/"))
	case kind == deleted:
		c.removeNode(strings.TrimPrefix(path, c.Path+"/"))
	}
	return err
}

func (c *Client) fetchNode(n *conn, name string) error {
	xid, err := n.sendWatch(opGetData, c.Path+"/"+name, c.sessionTimeout/3)
	n.nodeByXid[xid] = name
	return err
}

// handleChildren compares the handleChildren with those known. On a new connection all data is read again.
func (c *Client) handleChildren(n *conn, r *decoder, code int32) error {
	here := map[string]bool{}
	if code == 0 {
		count := r.i32()
		for i := int32(0); i < count && !r.truncated; i++ {
			here[string(r.bytes())] = true
		}
		if r.truncated {
			return errors.New("list of children cut off")
		}
	}
	if n.snapshotDue { // who is not there any more is missing from the whole list told below
		c.nodes = map[string]relay.Endpoint{}
	}
	for name := range c.nodes {
		if !here[name] {
			c.removeNode(name)
		}
	}
	for name := range here {
		if _, known := c.nodes[name]; !known {
			if err := c.fetchNode(n, name); err != nil {
				return err
			}
		}
	}
	c.publishSnapshot(n)
	if n.childrenChanged {
		n.childrenChanged = false
		var err error
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3)
		return err
	}
	return nil
}

// publishSnapshot tells the publishSnapshot list once all data of a new connection is there.
func (c *Client) publishSnapshot(n *conn) {
	if !n.snapshotDue || len(n.nodeByXid) > 0 {
		return
	}
	n.snapshotDue = false
	list := make([]relay.Endpoint, 0, len(c.nodes))
	for _, l := range c.nodes {
		list = append(list, l)
	}
	c.Requests.UpdateEndpoints(decide.Snapshot, list)
}

// removeNode drops a node. An ephemeral node vanishes with its server's session.
func (c *Client) removeNode(name string) {
	if l, known := c.nodes[name]; known {
		delete(c.nodes, name)
		l.Mode = decide.Removed
		c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
	}
}

// handleNodeData takes one node's handleNodeData. Data that makes no sense is logged, and its server is not used.
func (c *Client) handleNodeData(n *conn, name string, r *decoder, code int32) {
	defer c.publishSnapshot(n)
	if code == codeNoNode {
		c.removeNode(name)
		return
	}
	l, err := parseNode(name, r.bytes())
	if code != 0 || err != nil {
		c.Log.Warn().Err(err).Int32("code", code).Str("node", name).Msg("bad node; skipped")
		c.removeNode(name)
		return
	}
	c.nodes[name] = l
	if !n.snapshotDue {
		c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
	}
}

// parseNode reads a parseNode's JSON.
func parseNode(name string, data []byte) (relay.Endpoint, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return relay.Endpoint{}, fmt.Errorf("data: %w", err)
	}
	l := relay.Endpoint{ID: name, Address: string(v.GetStringBytes("address")), Zone: string(v.GetStringBytes("zone")),
		Cell: int32(v.GetInt("cell")), StartedAt: relay.FromUnixMillis(v.GetFloat64("startedAtMs")), Load: -1}
	if load := v.Get("load"); load != nil {
		l.Load = max(load.GetFloat64(), 0)
	}
	switch mode := string(v.GetStringBytes("lifecycle")); mode {
	case "Ready", "":
		l.Mode = decide.Ready
	case "Terminating":
		l.Mode = decide.Draining
	default:
		return l, fmt.Errorf("lifecycle %q", mode)
	}
	if _, _, err := net.SplitHostPort(l.Address); err != nil {
		return l, fmt.Errorf("address: %w", err)
	}
	return l, nil
}
