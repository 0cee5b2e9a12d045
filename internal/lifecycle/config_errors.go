package lifecycle

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// ConfigError is a key of a configuration file, or a variable of the environment, whose value cannot be used.
type ConfigError struct {
	File string // "" where the text has no file: the platform's configuration is named by the key
	Key  string
	Err  error
}

// Error is the file, the key and the cause on one line.
func (e *ConfigError) Error() string {
	text := e.Key + ": " + e.Err.Error()
	if e.File != "" {
		text = e.File + ": " + text
	}
	return text
}

// Unwrap is the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// keyError says what is wrong with a key's value. The format may wrap an error.
func keyError(key, format string, args ...any) *ConfigError {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// errUnknownKey is a key that a file has and nobody reads: a misspelt one, mostly.
var errUnknownKey = errors.New("unknown key")

// configProblems are the problems of an operator's file, each with its key, in the order in which they were
// found.
type configProblems struct {
	file string
	all  []error
}

// decodeFile reads an operator's file. Keys that it does not know are problems; only what is no TOML is an
// error.
func decodeFile(path string, into any) (*configProblems, error) {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := &configProblems{file: path}
	for _, key := range meta.Undecoded() {
		p.add(key.String(), errUnknownKey)
	}
	return p, nil
}

// add notes a problem with a key; nil for none.
func (p *configProblems) add(key string, err error) {
	if err != nil {
		p.all = append(p.all, &ConfigError{File: p.file, Key: key, Err: err})
	}
}

// addIf notes a problem with a key, if there is one.
func (p *configProblems) addIf(wrong bool, key, format string, args ...any) {
	if wrong {
		p.add(key, fmt.Errorf(format, args...))
	}
}

// err has every problem, a line each; nil if there is none.
func (p *configProblems) err() error { return errors.Join(p.all...) }

// first is the problem that was found first, nil if there is none.
func (p *configProblems) first() error {
	if len(p.all) == 0 {
		return nil
	}
	return p.all[0]
}
