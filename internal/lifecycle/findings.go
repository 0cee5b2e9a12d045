package lifecycle

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// findings are all the problems of an operator's file, each with its key.
type findings struct {
	path string
	all  []error
}

// decodeFile reads an operator's file. Keys that it does not know are findings; only what is no TOML is an error.
func decodeFile(path string, into any) (*findings, error) {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f := &findings{path: path}
	for _, key := range meta.Undecoded() {
		f.bad(true, "%s: unknown key", key)
	}
	return f, nil
}

// bad notes a problem, if there is one.
func (f *findings) bad(wrong bool, format string, args ...any) {
	if wrong {
		f.all = append(f.all, fmt.Errorf("%s: %s", f.path, fmt.Sprintf(format, args...)))
	}
}

// err has every problem, a line each; nil if there is none.
func (f *findings) err() error { return errors.Join(f.all...) }
