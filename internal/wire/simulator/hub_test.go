package simulator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settingsJSON = `{
	"areas":["north","south"],"zone":"south","balancers":4,"me":2,"discovery":"push","quantumMs":4.0,
	"classes":[
		{"aimMs":300.0,"deadlineMs":1800.0,"group":"all","name":"view","semantics":"free","windowMs":5000.0,
			"worth":5.0,"novel":[1,2]},
		{"aimMs":300,"deadlineMs":900,"group":"cell","name":"save","semantics":"guarded",
			"windowMs":500,"worth":1}],
	"limits":{"connectTimeoutMs":250.0,"maxRetryAfterMs":1500.0,"mostTries":3,"probes":true,
		"retryAfter":true},
	"realms":[{"name":"uni","portion":1}],
	"rules":{"coldMs":6600.0,"fallMultiple":3.0,"overloadForMs":3000.0,"startCapacity":0.31},
	"specifics":{"reportX0":"load asked of the server over what it can do",
		"reportX1":"seconds of work piled up"},
	"unheardOf":{"a":null}}`

func start(id int) string { return fmt.Sprintf(`["powerOn",%d,4050608788307276,%s]`, id, settingsJSON) }

func list(id int) string {
	const endpoints = `["10.0.0.1:80",1,0,"big",1,null,"south"],["10.0.0.2:80",2,0,"big",1,0,"south"]`
	return fmt.Sprintf(`["registry",%d,3,41,[%s]]`, id, endpoints)
}

func batch(ts float64, arrivals ...string) string {
	return fmt.Sprintf(`{"tsMs":%v,"arrivals":[%s]}`, ts, strings.Join(arrivals, ","))
}

func mustHandle(t *testing.T, h *Hub, line string) string {
	t.Helper()
	out, err := h.HandleBatch([]byte(line))
	if err != nil {
		t.Fatalf("line %s: got error %v, want a reply", line, err)
	}
	return string(out)
}

// One request from its arrival to its outcome, in hand-written lines, must give the expected actions.
func TestRequestIsFollowedToItsEnd(t *testing.T) {
	h := NewHub()
	requestID := `"5d3a91c4-cf10-4dc3-af6c-1740a0e3f396"`
	steps := []struct{ name, in, want string }{
		{"empty batch", batch(1), `{"actions":[]}`},
		{"start", batch(1000, start(3), list(3)), `{"actions":[]}`},
		{"request: probe only the ready server",
			batch(1004, `["newRequest",3,`+requestID+`,"view","uni",null,1800.0,null,77,0]`),
			`["check",3,"10.0.0.1:80"]`},
		{"probe answered: forward",
			batch(1006.5, `["echo",3,1.4,"10.0.0.1:80",200,{"x0":0.4,"rif":7,"new":1}]`),
			`["callOut",3,` + requestID + `,300,"10.0.0.1:80"]`},
		{"up", batch(1020, `["flowing",3,`+requestID+`,0,"10.0.0.1:80",9.25]`), `["notifyMe",3,`},
		{"notes", batch(1030, `["interim",3,`+requestID+`,"10.0.0.1:80",0,0.5,1]`), `{"actions":[]}`},
		{"over",
			batch(2000, `["closedAttempt",3,`+requestID+`,0,200,"10.0.0.1:80",18.5,true,null]`),
			`{"actions":[]}`},
		{"client gone after the outcome", batch(2000, `["dropped",3,`+requestID+`]`), `{"actions":[]}`},
	}
	for _, s := range steps {
		if got := mustHandle(t, h, s.in); !strings.Contains(got, s.want) || !strings.HasSuffix(got, "]}\n") {
			t.Errorf("%s: got reply %s, want it to contain %s", s.name, got, s.want)
		}
	}
	if n := h.instances[3]; len(n.requests) != 0 || len(n.byID) != 0 {
		t.Errorf("finished request is still tracked: got %v, want no requests", n.requests)
	}
	mustHandle(t, h, batch(2100, `["crashNow",3]`))
	if got := mustHandle(t, h, batch(2200, `["alarm",3,5]`)); got != "{\"actions\":[]}\n" {
		t.Errorf("stopped instance: got reply %s, want no actions", got)
	}
	got := mustHandle(t, h, batch(2300, start(3), list(3), `["newRequest",3,"x","view"]`))
	if !strings.Contains(got, "overloadReply") && !strings.Contains(got, "callOut") {
		t.Errorf("restarted instance, request with absent values: got %s, want overloadReply or callOut", got)
	}
}

// A line that does not follow the protocol must be an error, and no instance may act on it.
func TestMalformedLinesAreErrors(t *testing.T) {
	for name, line := range map[string]string{
		"not JSON":               `hello`,
		"cut off":                `{"tsMs":1,"arrivals":[`,
		"not an object":          `[1,2]`,
		"no clock":               `{"arrivals":[]}`,
		"no arrivals":            `{"tsMs":1}`,
		"text as clock":          `{"tsMs":"soon","arrivals":[]}`,
		"event not an array":     batch(2, `{"a":1}`),
		"event without name":     batch(2, `[3,3]`),
		"unknown event":          batch(2, `["hiccup",3]`),
		"not started":            batch(2, `["alarm",9,1]`),
		"text as instance":       batch(2, `["alarm","x",1]`),
		"text as token":          batch(2, `["alarm",3,"x"]`),
		"negative token":         batch(2, `["alarm",3,-4]`),
		"unknown class":          batch(2, `["newRequest",3,"a","hum"]`),
		"request without id":     batch(2, `["newRequest",3]`),
		"unknown status":         batch(2, `["closedAttempt",3,"a",0,299,"b",1,true,null]`),
		"unknown list kind":      batch(2, `["registry",3,9,1,[]]`),
		"unknown endpoint state": batch(2, `["registry",3,0,1,[["a",7]]]`),
		"endpoint without name":  batch(2, `["registry",3,0,1,[[null,1]]]`),
		"text as settings":       batch(2, `["powerOn",4,1,"x"]`),
		"message not in base64":  batch(2, `["fromPeer",3,1,"%%"]`),
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHub()
			mustHandle(t, h, batch(1, start(3), list(3)))
			if out, err := h.HandleBatch([]byte(line)); err == nil {
				t.Errorf("got reply %s, want an error", out)
			}
		})
	}
}

// The decisions of an instance must not depend on which other instances share its Hub.
func TestInstancesInOneHubAreIndependent(t *testing.T) {
	script := func(id int) (lines []string) {
		const more = `["registry",%d,4,2,[["10.9.%d.1:80",1,1,"big",1,500.0,"north"],` +
			`["10.9.9.9:80",1,1,"big",1,null,"south"]]]`
		lines = append(lines, batch(1000, start(id), list(id), fmt.Sprintf(more, id, id)))
		for i := range 30 {
			at := 1010 + 40*float64(i)
			const request = `["newRequest",%d,"job-%d-%d","view","uni",%d,1800,null,0,0]`
			lines = append(lines, batch(at, fmt.Sprintf(request, id, id, i, i%3)),
				batch(at+4, fmt.Sprintf(`["echo",%d,2.5,"10.9.9.9:80",200,{"x0":0.%d,"rif":4}]`, id, 1+i%5)),
				batch(at+8, fmt.Sprintf(`["echo",%d,2.5,"10.0.0.1:80",200,{"x0":0.3,"rif":4}]`, id)))
		}
		return lines
	}
	together, a, b := NewHub(), NewHub(), NewHub()
	first, second := script(1), script(2)
	sent := 0
	for i := range first {
		alone1, alone2 := mustHandle(t, a, first[i]), mustHandle(t, b, second[i])
		if got := mustHandle(t, together, second[i]); got != alone2 {
			t.Fatalf("line %d of instance 2: got %s in a shared hub, want %s as alone", i, got, alone2)
		}
		if got := mustHandle(t, together, first[i]); got != alone1 {
			t.Fatalf("line %d of instance 1: got %s in a shared hub, want %s as alone", i, got, alone1)
		}
		sent += strings.Count(alone1, "callOut")
	}
	if sent < 10 {
		t.Errorf("got %d placements, want at least 10 for the comparison to be significant", sent)
	}
}

// A name with quotes or backslashes must be escaped in the reply, so that the reply is valid JSON.
func TestNamesAreEscaped(t *testing.T) {
	h := NewHub()
	mustHandle(t, h, batch(1000, start(3), `["registry",3,3,1,[["a\"b\\c",1,0,"k",1,null,"south"]]]`))
	got := mustHandle(t, h, batch(1004, `["newRequest",3,"j","view","uni",1,1800,null,0,0]`))
	if _, err := h.parser.Parse(got); err != nil || !strings.Contains(got, `a\u0022b\u005cc`) {
		t.Errorf("got reply %s, parse error %v, want the name escaped", got, err)
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(batch(1000, start(3), list(3), `["newRequest",3,"j","view","uni",1,1800,null,0,0]`))
	f.Add(batch(1004, `["echo",3,1.4,"10.0.0.1:80",200,{"x0":0.4,"rif":7}]`, `["alarm",3,77]`))
	f.Add(batch(1008, `["closedAttempt",3,"j",0,520,"10.0.0.1:80",18.5,false,null]`, `["dropped",3,"j"]`))
	f.Add(batch(1012, `["inherited",3,"k","save","uni",1,1,null,0,0,"10.0.0.2:80"]`,
		`["interim",3,"k","10.0.0.2:80",0,900,2]`))
	f.Fuzz(func(t *testing.T, line string) {
		h := NewHub()
		first := batch(1000, start(3), list(3), `["newRequest",3,"j","view","uni",1,1800,null,0,0]`)
		if _, err := h.HandleBatch([]byte(first)); err != nil {
			t.Fatal(err)
		}
		out, err := h.HandleBatch([]byte(line))
		if err == nil && (bytes.Contains(out, []byte(`["broken"`)) || !bytes.HasSuffix(out, []byte("]}\n"))) {
			t.Errorf("line %s: got reply %s, want a complete reply without a panic", line, out)
		}
	})
}
