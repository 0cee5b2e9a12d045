package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The shipped program has no fault injection points: no file can put a fault into it.
func TestShippedProgramHasNoFaultPoints(t *testing.T) {
	dir := t.TempDir()
	shipped := filepath.Join(dir, "capersail")
	cmd := exec.Command("go", "build", "-o", shipped, "./cmd/capersail")
	cmd.Dir = "../../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for path, want := range map[string]bool{shipped: false, programPath: true} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, mark := range []string{"CAPERSAIL_FAULTS", "capersail/internal/testing/faultpoint"} {
			if got := strings.Contains(string(text), mark); got != want {
				t.Errorf("%s in %s: %v", mark, filepath.Base(path), got)
			}
		}
	}
}
