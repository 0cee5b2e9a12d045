package discovery

import (
	"bufio"
	"bytes"
	"errors"
)

// objectReader reads JSON objectReader that each end with their line, be it on one line or indented over several.
type objectReader struct{ r *bufio.Reader }

// maxListBytes is the most bytes of one list.
const maxListBytes = 8 << 20

// next returns the next object, or nothing for an empty line. With an error it returns what has come of one so far.
func (o *objectReader) next() (text []byte, err error) {
	depth, quoted, escaped := 0, false, false
	for {
		part, err := o.r.ReadSlice('\n')
		if text = append(text, part...); len(text) > maxListBytes {
			return nil, errors.New("a list over the bound")
		}
		for _, b := range part {
			switch {
			case escaped:
				escaped = false
			case quoted:
				escaped, quoted = b == '\\', b != '"'
			case b == '"':
				quoted = true
			case b == '{', b == '[':
				depth++
			case b == '}', b == ']':
				depth--
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) || err == nil && depth > 0 {
			continue
		}
		return bytes.TrimSpace(text), err
	}
}
