package simulator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const profile = `{
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

func start(who int) string { return fmt.Sprintf(`["powerOn",%d,4050608788307276,%s]`, who, profile) }

func list(who int) string {
	const endpoints = `["10.0.0.1:80",1,0,"big",1,null,"south"],["10.0.0.2:80",2,0,"big",1,0,"south"]`
	return fmt.Sprintf(`["registry",%d,3,41,[%s]]`, who, endpoints)
}

func batch(ts float64, arrivals ...string) string {
	return fmt.Sprintf(`{"tsMs":%v,"arrivals":[%s]}`, ts, strings.Join(arrivals, ","))
}

func reply(t *testing.T, h *Hub, line string) string {
	t.Helper()
	out, err := h.HandleBatch([]byte(line))
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(out)
}

// A request is followed from its arrival to its end, in hand-written lines.
func TestRequestIsFollowedToItsEnd(t *testing.T) {
	h := NewHub()
	job := `"5d3a91c4-cf10-4dc3-af6c-1740a0e3f396"`
	steps := []struct{ name, in, want string }{
		{"empty batch", batch(1), `{"actions":[]}`},
		{"start", batch(1000, start(3), list(3)), `{"actions":[]}`},
		{"request: probe the ready one only",
			batch(1004, `["newRequest",3,`+job+`,"view","uni",null,1800.0,null,77,0]`),
			`["check",3,"10.0.0.1:80"]`},
		{"probe answered: placed",
			batch(1006.5, `["echo",3,1.4,"10.0.0.1:80",200,{"x0":0.4,"rif":7,"new":1}]`),
			`["callOut",3,` + job + `,300,"10.0.0.1:80"]`},
		{"up", batch(1020, `["flowing",3,`+job+`,0,"10.0.0.1:80",9.25]`), `["notifyMe",3,`},
		{"notes", batch(1030, `["interim",3,`+job+`,"10.0.0.1:80",0,0.5,1]`), `{"actions":[]}`},
		{"over",
			batch(2000, `["closedAttempt",3,`+job+`,0,200,"10.0.0.1:80",18.5,true,null]`),
			`{"actions":[]}`},
		{"already dropped", batch(2000, `["dropped",3,`+job+`]`), `{"actions":[]}`},
	}
	for _, s := range steps {
		if got := reply(t, h, s.in); !strings.Contains(got, s.want) || !strings.HasSuffix(got, "]}\n") {
			t.Errorf("%s: %s, want %s", s.name, got, s.want)
		}
	}
	if n := h.instances[3]; len(n.requests) != 0 || len(n.byID) != 0 {
		t.Errorf("a finished request is still kept: %v", n.requests)
	}
	reply(t, h, batch(2100, `["crashNow",3]`))
	if got := reply(t, h, batch(2200, `["alarm",3,5]`)); got != "{\"actions\":[]}\n" {
		t.Errorf("a stopped instance acted: %s", got)
	}
	got := reply(t, h, batch(2300, start(3), list(3), `["newRequest",3,"x","view"]`))
	if !strings.Contains(got, "overloadReply") && !strings.Contains(got, "callOut") {
		t.Errorf("started anew, with values left out: %s", got)
	}
}

// A line that is not of the dialect is an error, and no instance acts on it.
func TestMalformedLinesAreErrors(t *testing.T) {
	for name, line := range map[string]string{
		"not JSON":            `hello`,
		"cut off":             `{"tsMs":1,"arrivals":[`,
		"not an object":       `[1,2]`,
		"no clock":            `{"arrivals":[]}`,
		"no arrivals":         `{"tsMs":1}`,
		"clock of words":      `{"tsMs":"soon","arrivals":[]}`,
		"event not an array":  batch(2, `{"a":1}`),
		"event without name":  batch(2, `[3,3]`),
		"unknown event":       batch(2, `["hiccup",3]`),
		"never born":          batch(2, `["alarm",9,1]`),
		"instance of words":   batch(2, `["alarm","x",1]`),
		"token of words":      batch(2, `["alarm",3,"x"]`),
		"negative token":      batch(2, `["alarm",3,-4]`),
		"unknown class":       batch(2, `["newRequest",3,"a","hum"]`),
		"request without id":  batch(2, `["newRequest",3]`),
		"unknown verdict":     batch(2, `["closedAttempt",3,"a",0,299,"b",1,true,null]`),
		"unknown list form":   batch(2, `["registry",3,9,1,[]]`),
		"unknown mode":        batch(2, `["registry",3,0,1,[["a",7]]]`),
		"entry without name":  batch(2, `["registry",3,0,1,[[null,1]]]`),
		"settings of words":   batch(2, `["powerOn",4,1,"x"]`),
		"bytes not in base64": batch(2, `["fromPeer",3,1,"%%"]`),
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHub()
			reply(t, h, batch(1, start(3), list(3)))
			if out, err := h.HandleBatch([]byte(line)); err == nil {
				t.Errorf("taken, with %s", out)
			}
		})
	}
}

// Decisions must not depend on which instances share a process.
func TestInstancesDecideAloneWhoeverSharesTheHub(t *testing.T) {
	script := func(who int) (lines []string) {
		const more = `["registry",%d,4,2,[["10.9.%d.1:80",1,1,"big",1,500.0,"north"],` +
			`["10.9.9.9:80",1,1,"big",1,null,"south"]]]`
		lines = append(lines, batch(1000, start(who), list(who), fmt.Sprintf(more, who, who)))
		for i := range 30 {
			at := 1010 + 40*float64(i)
			const request = `["newRequest",%d,"job-%d-%d","view","uni",%d,1800,null,0,0]`
			lines = append(lines, batch(at, fmt.Sprintf(request, who, who, i, i%3)),
				batch(at+4, fmt.Sprintf(`["echo",%d,2.5,"10.9.9.9:80",200,{"x0":0.%d,"rif":4}]`, who, 1+i%5)),
				batch(at+8, fmt.Sprintf(`["echo",%d,2.5,"10.0.0.1:80",200,{"x0":0.3,"rif":4}]`, who)))
		}
		return lines
	}
	together, a, b := NewHub(), NewHub(), NewHub()
	first, second := script(1), script(2)
	sent := 0
	for i := range first {
		alone1, alone2 := reply(t, a, first[i]), reply(t, b, second[i])
		if got := reply(t, together, second[i]); got != alone2 {
			t.Fatalf("line %d: %s together, %s alone", i, got, alone2)
		}
		if got := reply(t, together, first[i]); got != alone1 {
			t.Fatalf("line %d: %s together, %s alone", i, got, alone1)
		}
		sent += strings.Count(alone1, "callOut")
	}
	if sent < 10 {
		t.Errorf("only %d placements; the script shows little", sent)
	}
}

// A name with quotes or backslashes comes back as JSON.
func TestNamesAreEscaped(t *testing.T) {
	h := NewHub()
	reply(t, h, batch(1000, start(3), `["registry",3,3,1,[["a\"b\\c",1,0,"k",1,null,"south"]]]`))
	got := reply(t, h, batch(1004, `["newRequest",3,"j","view","uni",1,1800,null,0,0]`))
	if _, err := h.parser.Parse(got); err != nil || !strings.Contains(got, `a\u0022b\u005cc`) {
		t.Errorf("%s: %v", got, err)
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
			t.Errorf("%s: %s", line, out)
		}
	})
}
