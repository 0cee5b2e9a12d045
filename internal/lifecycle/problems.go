package lifecycle

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// configProblems are all the problems of an operator's file, each with its key.
type configProblems struct {
	path string
	all  []error
}

// decodeFile reads an operator's file. Keys that it does not know are findings; only what is no TOML is an error.
func decodeFile(path string, into any) (*configProblems, error) {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f := &configProblems{path: path}
	for _, key := range meta.Undecoded() {
		f.addIf(true, "%s: unknown key", key)
	}
	return f, nil
}

// addIf notes a problem, if there is one.
func (f *configProblems) addIf(wrong bool, format string, args ...any) {
	if wrong {
		f.all = append(f.all, fmt.Errorf("%s: %s", f.path, fmt.Sprintf(format, args...)))
	}
}

// err has every problem, a line each; nil if there is none.
func (f *configProblems) err() error { return errors.Join(f.all...) }
