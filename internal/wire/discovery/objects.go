package discovery

import (
	"bufio"
	"bytes"
	"errors"
)

// maxListBytes is the maximum size of a list.
const maxListBytes = 8 << 20

// errListTooLarge ends a call whose list is longer than maxListBytes.
var errListTooLarge = errors.New("endpoint list is longer than the maximum of 8 MiB")

// objectReader splits a stream into JSON objects. Each begins on a new line and may span several lines.
type objectReader struct{ r *bufio.Reader }

// next returns the text of the next object, or nothing for an empty line. With an error it returns the part
// of the object that was read before it.
func (o *objectReader) next() (text []byte, err error) {
	var nesting jsonNesting
	for {
		part, err := o.r.ReadSlice('\n')
		text = append(text, part...)
		if len(text) > maxListBytes {
			return nil, errListTooLarge
		}
		nesting.update(part)
		if errors.Is(err, bufio.ErrBufferFull) || err == nil && nesting.depth > 0 {
			continue
		}
		return bytes.TrimSpace(text), err
	}
}

// jsonNesting tracks how deep a position in a JSON text is nested in objects and arrays.
type jsonNesting struct {
	depth    int
	inString bool // inside a string
	escaped  bool // after a backslash in a string
}

// update advances the position by text.
func (n *jsonNesting) update(text []byte) {
	for _, b := range text {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.escaped, n.inString = b == '\\', b != '"'
		case b == '"':
			n.inString = true
		case b == '{', b == '[':
			n.depth++
		case b == '}', b == ']':
			n.depth--
		}
	}
}
