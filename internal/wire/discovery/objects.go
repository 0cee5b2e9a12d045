package discovery

import (
	"bufio"
	"bytes"
	"errors"
)

// maxListBytes bounds one list.
const maxListBytes = 8 << 20

// errListTooLarge ends a call whose list is over maxListBytes.
var errListTooLarge = errors.New("list over 8 MB")

// objectReader reads JSON objects that each end with their line, be it on one line or indented over several.
type objectReader struct{ r *bufio.Reader }

// next returns the next object, or nothing for an empty line. With an error it returns what has come of one
// so far.
func (o *objectReader) next() (text []byte, err error) {
	var nesting jsonNesting
	for {
		part, err := o.r.ReadSlice('\n')
		text = append(text, part...)
		if len(text) > maxListBytes {
			return nil, errListTooLarge
		}
		nesting.read(part)
		if errors.Is(err, bufio.ErrBufferFull) || err == nil && nesting.depth > 0 {
			continue
		}
		return bytes.TrimSpace(text), err
	}
}

// jsonNesting follows how deep in objects and arrays a text is.
type jsonNesting struct {
	depth   int
	quoted  bool // within a string
	escaped bool // after a backslash in it
}

func (n *jsonNesting) read(text []byte) {
	for _, b := range text {
		switch {
		case n.escaped:
			n.escaped = false
		case n.quoted:
			n.escaped, n.quoted = b == '\\', b != '"'
		case b == '"':
			n.quoted = true
		case b == '{', b == '[':
			n.depth++
		case b == '}', b == ']':
			n.depth--
		}
	}
}
