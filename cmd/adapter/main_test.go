package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestRunAnswersEveryLine(t *testing.T) {
	long := `{"tsMs":1,"arrivals":[],"pad":"` + strings.Repeat("x", 3<<20) + `"}`
	cases := []struct {
		name, in, out string
		fails         bool
	}{
		{"end of input is a clean exit", "", "", false},
		{"one reply per line", "{\"tsMs\":1,\"arrivals\":[]}\n{\"tsMs\":2,\"arrivals\":[]}\n",
			strings.Repeat("{\"actions\":[]}\n", 2), false},
		{"a last line without a line feed", `{"tsMs":1,"arrivals":[]}`, "{\"actions\":[]}\n", false},
		{"a line longer than the buffer", long + "\n", "{\"actions\":[]}\n", false},
		{"an invalid line after a valid one", "{\"tsMs\":1,\"arrivals\":[]}\nnonsense\n",
			"{\"actions\":[]}\n", true},
	}
	for _, c := range cases {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if (err != nil) != c.fails || out.String() != c.out {
			t.Errorf("%s: got output %q, error %v", c.name, out.String(), err)
		}
	}
}
