package zookeeper

import (
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// handleEvent requests again the data that has changed by a watch event. A watch fires once, and the request
// sets it again.
func (c *Client) handleEvent(n *watchConn, kind int32, path string) (err error) {
	name := strings.TrimPrefix(path, c.Path+"/")
	switch {
	case path == c.Path && n.childrenXid != 0:
		n.childrenChanged = true
	case path == c.Path:
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path)
	case kind == eventDataChanged:
		err = c.fetchNode(n, name)
	case kind == eventNodeDeleted:
		c.removeNode(name)
	}
	return err
}

// fetchNode requests the data of a node, with a watch.
func (c *Client) fetchNode(n *watchConn, name string) error {
	xid, err := n.sendWatch(opGetData, c.Path+"/"+name)
	n.nodeByXid[xid] = name
	return err
}

// handleChildren handles the list of children: it removes nodes that are gone and requests the data of new
// ones. On a new connection the data of all nodes is requested.
func (c *Client) handleChildren(n *watchConn, d *decoder, code int32) error {
	present, err := readChildren(d, code)
	if err != nil {
		return err
	}
	if n.snapshotDue { // nodes that are gone are left out of the snapshot published below
		c.endpointsByNode = map[string]relay.Endpoint{}
	}
	for name := range c.endpointsByNode {
		if !present[name] {
			c.removeNode(name)
		}
	}
	for name := range present {
		if _, known := c.endpointsByNode[name]; known {
			continue
		}
		if err := c.fetchNode(n, name); err != nil {
			return err
		}
	}
	c.publishSnapshot(n)
	if n.childrenChanged {
		n.childrenChanged = false
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path)
	}
	return err
}

// publishSnapshot publishes the complete endpoint list once the data of all nodes has been read on a new
// connection.
func (c *Client) publishSnapshot(n *watchConn) {
	if !n.snapshotDue || len(n.nodeByXid) > 0 {
		return
	}
	n.snapshotDue = false
	list := make([]relay.Endpoint, 0, len(c.endpointsByNode))
	for _, endpoint := range c.endpointsByNode {
		list = append(list, endpoint)
	}
	c.Requests.UpdateEndpoints(decide.Snapshot, list)
}

// removeNode publishes that a node is gone, with the state Removed. An ephemeral node is deleted when the
// session of its server ends.
func (c *Client) removeNode(name string) {
	endpoint, known := c.endpointsByNode[name]
	if !known {
		return
	}
	delete(c.endpointsByNode, name)
	endpoint.State = decide.Removed
	c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{endpoint})
}

// handleNodeData handles the data of a node. A server whose data is malformed is removed from the endpoint
// list.
func (c *Client) handleNodeData(n *watchConn, name string, d *decoder, code int32) {
	defer c.publishSnapshot(n)
	if code == codeNoNode {
		c.removeNode(name)
		return
	}
	endpoint, err := parseNode(name, d.bytes())
	if code != int32(OK) || err != nil {
		c.Log.Warn().
			Err(err).
			Int32("code", code).
			Str("node", name).
			Msg("malformed endpoint node, server not used until its node is rewritten: check the server")
		c.removeNode(name)
		return
	}
	c.endpointsByNode[name] = endpoint
	if !n.snapshotDue {
		c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{endpoint})
	}
}

// unknownLoad is the load of an endpoint whose node does not state one.
const unknownLoad = -1

// parseNode parses the JSON of a node.
func parseNode(name string, data []byte) (relay.Endpoint, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return relay.Endpoint{}, fmt.Errorf("parse JSON: %w", err)
	}
	endpoint := relay.Endpoint{
		ID:        name,
		Address:   string(v.GetStringBytes("address")),
		Zone:      string(v.GetStringBytes("zone")),
		Cell:      int32(v.GetInt("cell")),
		StartedAt: relay.TimeFromUnixMillis(v.GetFloat64("startedAtMs")),
		Load:      unknownLoad,
	}
	if load := v.Get("load"); load != nil {
		endpoint.Load = max(load.GetFloat64(), 0)
	}
	switch state := string(v.GetStringBytes("lifecycle")); state {
	case "Ready", "":
		endpoint.State = decide.Ready
	case "Terminating":
		endpoint.State = decide.Draining
	default:
		return endpoint, fmt.Errorf("unknown lifecycle %q", state)
	}
	if _, _, err := net.SplitHostPort(endpoint.Address); err != nil {
		return endpoint, fmt.Errorf("address: %w", err)
	}
	return endpoint, nil
}
