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
		{"one reply a line", "{\"tsMs\":1,\"arrivals\":[]}\n{\"tsMs\":2,\"arrivals\":[]}\n",
			strings.Repeat("{\"actions\":[]}\n", 2), false},
		{"a last line without an end", `{"tsMs":1,"arrivals":[]}`, "{\"actions\":[]}\n", false},
		{"a line longer than the buffer", long + "\n", "{\"actions\":[]}\n", false},
		{"nothing but replies on the output", "{\"tsMs\":1,\"arrivals\":[]}\nnonsense\n",
			"{\"actions\":[]}\n", true},
	}
	for _, c := range cases {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if (err != nil) != c.fails || out.String() != c.out {
			t.Errorf("%s: %q, %v", c.name, out.String(), err)
		}
	}
}
