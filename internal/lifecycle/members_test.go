package lifecycle

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const membersConfig = `
site = "casa"
bind = "127.0.0.1:7946"
seeds = ["127.0.0.1:7946"]
state = "/var/lib/capersail/members"
`

// All problems of a members file are reported at once, each on a line of its own that names the key.
func TestMembersFileProblemsNameTheirKeys(t *testing.T) {
	dir := t.TempDir()
	keys := func(text string, mode os.FileMode) string {
		path := filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-")+".keys")
		os.Remove(path)
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	read := func(text string) (*MembersConfig, error) {
		path := filepath.Join(dir, "members.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadMembersConfig(path)
	}
	if m, err := read(membersConfig); err != nil || m.Site != "casa" {
		t.Errorf("valid file: got %+v, %v, want site casa and no error", m, err)
	}
	one, two := "AAAAAAAAAAAAAAAAAAAAAA==", "AQAAAAAAAAAAAAAAAAAAAA=="
	withKeys := membersConfig + `keys = "` + keys("# seals\n"+one+"\n\n"+two+"\n", 0o600) + `"`
	if m, err := read(withKeys); err != nil || len(m.keys) != 2 {
		t.Errorf("file with keys: got %+v, %v, want two keys and no error", m, err)
	}
	for want, change := range map[string][2]string{
		"site: from 1 to 100 bytes":                 {`site = "casa"`, ``},
		`bind: "nowhere:1": "nowhere" is not an IP`: {`bind = "127.0.0.1:7946"`, `bind = "nowhere:1"`},
		"the port is not from 1 to 65535":           {`bind = "127.0.0.1:7946"`, `bind = "127.0.0.1:0"`},
		"bind: 10.0.0.4 is not a loopback address":  {`bind = "127.0.0.1:7946"`, `bind = "10.0.0.4:7946"`},
		"tell: has to be set":                       {`bind = "127.0.0.1:7946"`, `bind = "0.0.0.0:7946"`},
		`tell: address here: missing port`:          {`site`, "tell = \"here\"\nsite"},
		"seeds: at least one":                       {`seeds = ["127.0.0.1:7946"]`, ``},
		"seeds: entry 2: ":                          {`seeds = [`, `seeds = ["127.0.0.1:1", "x",`},
		`state: "members" is not an absolute path`:  {`"/var/lib/capersail/members"`, `"members"`},
		"socket: longer than 100 bytes": {
			`site`, `socket = "/` + strings.Repeat("x", 101) + "\"\nsite",
		},
		"founders: want 1 to 10000":                  {`site`, "founders = -1\nsite"},
		"sead: unknown key":                          {`site`, "sead = 1\nsite"},
		"no such file":                               {`site`, "keys = \"/nowhere\"\nsite"},
		"mode 0644 lets other users access the keys": {`site`, `keys = "` + keys(one, 0o644) + "\"\nsite"},
	} {
		_, err := read(strings.Replace(membersConfig, change[0], change[1], 1))
		found := false
		for _, line := range strings.Split(errText(err), "\n") {
			found = found || strings.Contains(line, want) && strings.Contains(line, "members.toml: ")
		}
		if !found {
			t.Errorf("want a line with %q that names the file; got %v", want, err)
		}
	}
	for want, text := range map[string]string{
		"line 2: not base64":             one + "\n???\n",
		"line 1: the key has 3 bytes":    "AAAA\n",
		"line 2: the key is a duplicate": one + "\n" + one,
		"the file has no key":            "# none\n",
	} {
		_, err := readGossipKeys(keys(text, 0o600))
		if !strings.Contains(errText(err), want) || strings.Contains(errText(err), one) {
			t.Errorf("want an error with %q and without the key; got %v", want, err)
		}
	}
	_, err := read("founders = -1\nsite = \"\"\nbind = \"x\"\n")
	if strings.Count(errText(err), "\n") != 4 {
		t.Errorf("file with several problems: got %v, want each of them on a line", err)
	}
	var problem *ConfigError
	if !errors.As(err, &problem) || problem.Key != "site" || filepath.Base(problem.File) != "members.toml" {
		t.Errorf("first problem: got %+v, want a ConfigError with file members.toml and key site", problem)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
