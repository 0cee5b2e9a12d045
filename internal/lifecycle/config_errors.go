package lifecycle

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// ConfigError is an error in the value of a key of a configuration file or of an environment variable.
type ConfigError struct {
	File string // "" for the platform's configuration, where the key is enough
	Key  string
	Err  error
}

// Error returns the file, the key and the cause on one line.
func (e *ConfigError) Error() string {
	text := e.Key + ": " + e.Err.Error()
	if e.File != "" {
		text = e.File + ": " + text
	}
	return text
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// keyError returns the error of a key of the platform's configuration. The format may wrap an error.
func keyError(key, format string, args ...any) *ConfigError {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// errUnknownKey is the error of a key that the program does not know, which is misspelt in most cases.
var errUnknownKey = errors.New("unknown key")

// configProblems collects the problems of an operator's file in the order in which they are found, each as a
// *ConfigError.
type configProblems struct {
	file string
	all  []error
}

// decodeFile decodes an operator's file. Unknown keys are added to the problems; the error is for a file that
// cannot be read or decoded.
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

// add adds a problem with a key, unless err is nil.
func (p *configProblems) add(key string, err error) {
	if err != nil {
		p.all = append(p.all, &ConfigError{File: p.file, Key: key, Err: err})
	}
}

// addIf adds a problem with a key if wrong is true.
func (p *configProblems) addIf(wrong bool, key, format string, args ...any) {
	if wrong {
		p.add(key, fmt.Errorf(format, args...))
	}
}

// err returns all problems joined, one per line, or nil if there are none.
func (p *configProblems) err() error { return errors.Join(p.all...) }

// first returns the problem that was found first, or nil if there are none.
func (p *configProblems) first() error {
	if len(p.all) == 0 {
		return nil
	}
	return p.all[0]
}
