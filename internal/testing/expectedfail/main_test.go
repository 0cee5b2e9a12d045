package main

import (
	"fmt"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, "\n \n": 0, "a/b TestX | it leaks | issue 9\n": 1, "a TestX/sub one|c|i": -1, "a TestX | c": -1, "a TestX | | 9": -1, "TestX | c | 9": -1,
		strings.Repeat("a TestX | c | 9\n", 3): 3, strings.Repeat("a TestX | c | 9\n", 4): -1,
	} {
		list, err := parse(text)
		if got := len(list); (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: %d, %v", text, got, err)
		}
	}
}

// Only what is listed is passed over, and the list has no room for what passes, or is not there.
func TestJudge(t *testing.T) {
	const list = "p TestRed | a fault | issue 1\n"
	for name, c := range map[string]struct{ events, list, wrong string }{
		"all well, none listed":            {"p TestA pass;p . pass", "", ""},
		"the listed one fails":             {"p TestA pass;p TestRed fail;p . fail", list, ""},
		"another fails":                    {"p TestA fail;p TestRed fail;p . fail", list, "p TestA failed"},
		"it passes":                        {"p TestRed pass;p . pass", list, "p TestRed is listed and ended in pass: take it off the list"},
		"it is skipped":                    {"p TestRed skip;p . pass", list, "p TestRed is listed and ended in skip: take it off the list"},
		"it does not exist":                {"p TestA pass;p . pass", list, "p TestRed is listed and does not exist"},
		"another package's of that name":   {"q TestRed fail;q . fail;p TestRed fail;p . fail", list, "q TestRed failed"},
		"its parts fail with it":           {"p TestRed/x fail;p TestRed fail;p . fail", list, ""},
		"a part is listed, its whole goes": {"p TestA/x fail;p TestA/y pass;p TestA fail;p . fail", "p TestA/x | c | 1", ""},
		"and another part fails":           {"p TestA/x fail;p TestA/y fail;p TestA fail;p . fail", "p TestA/x | c | 1", "p TestA failed,p TestA/y failed"},
		"a panic ends the package":         {"p TestRed fail;p TestA run;p . fail", list, "p TestA did not come to its end"},
		"the package fails by itself":      {"p TestA pass;p . fail", "", "p failed outside its tests"},
		"it does not build":                {"p . build-fail", "", "a package does not build"},
	} {
		parsed, err := parse(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var in strings.Builder
		for _, e := range strings.Split(c.events, ";") {
			p := strings.Fields(e)
			fmt.Fprintf(&in, "{\"Action\":%q,\"Package\":%q,\"Test\":%q}\n", p[2], p[0], strings.TrimSuffix(p[1], "."))
		}
		var out strings.Builder
		wrong, err := judge(strings.NewReader(in.String()), parsed, &out)
		if got := strings.Join(wrong, ","); err != nil || got != c.wrong {
			t.Errorf("%s: %q, %v; want %q", name, got, err, c.wrong)
		}
		if c.wrong == "" && c.list != "" && !strings.Contains(out.String(), "KNOWN RED, passed over: "+parsed[0].pkg+" "+parsed[0].test+": ") {
			t.Errorf("%s: it is not printed: %q", name, out.String())
		}
	}
}
