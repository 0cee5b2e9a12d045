package xmpp

import (
	"bytes"
	"slices"
	"strings"
)

// The limits on what the relay buffers for one peer.
const (
	maxDepth            = 32 // nested elements, the stream included
	maxItemBytes        = 64 << 10
	maxHeaderBytes      = 10_000  // an item before the request; RFC 6120, section 13.12, asks for as much
	maxKeptBytes        = 4 << 10 // largest buffer that is kept for the next item
	maxEntityBytes      = 8
	maxDeclarationBytes = 256
)

const (
	whitespace          = " \t\r\n"
	cdataStart          = "<![CDATA["
	declaration         = "<?xml"
	predefinedEntities  = " amp lt gt quot apos " // those that XML predefines
	minDeclarationBytes = len("<?xml?>")
)

var cdataEnd = []byte("]]>")

// itemKind is the kind of an item.
type itemKind uint8

const (
	streamHeader      itemKind = iota // a stream's start tag
	firstLevelElement                 // a complete element of the stream's first level
	streamEnd                         // the stream's end tag
)

// item is one unit of a stream: its text as received, and the name of its outermost tag.
type item struct {
	kind itemKind
	raw  []byte
	name string
}

// attribute returns the value of an attribute of the outermost tag, "" if there is none.
func (it item) attribute(name string) string { return attributeOf(it.raw, name) }

// scanner splits a stream into items. It processes single bytes, so a read may end anywhere in an item. It
// rejects what RFC 6120 restricts: document types, processing instructions, comments and entities that XML
// does not predefine.
type scanner struct {
	maxBytes    int    // limit on an item's text
	item        []byte // the text so far of the current item
	tagStart    int    // offset in item of the latest tag
	mode        scanMode
	quote       byte     // the quote that began the current attribute value; 0 outside of values
	entityStart int      // offset in item of the current entity's name
	openTags    []string // names of the open elements, outermost first
	started     bool     // a tag or XML declaration was read: no declaration may follow before a restart
	restarted   bool     // the stream has been restarted, which happens once, after SASL
	outermost   item     // kind and name of the current item's outermost tag
}

// scanMode is the syntactic context of the next byte.
type scanMode uint8

const (
	inText scanMode = iota
	inTag
	inData // a CDATA section
	inEntity
)

// next processes bytes up to the end of an item. It returns the item, or nil if there is none yet, and the
// bytes behind it. The error is a streamError; next must not be called after an error.
func (s *scanner) next(p []byte) (it *item, rest []byte, err error) {
	for i, c := range p {
		it, err := s.scanByte(c)
		if err != nil || it != nil {
			return it, p[i+1:], err
		}
	}
	return nil, nil, nil
}

// scanByte processes one byte and returns the item that it completes, or nil.
func (s *scanner) scanByte(c byte) (*item, error) {
	if c < ' ' && !isWhitespace(c) {
		return nil, errNotWellFormed
	}
	if s.mode == inText && len(s.openTags) < 2 && c != '<' { // between items only whitespace is allowed
		if isWhitespace(c) {
			return nil, nil
		}
		return nil, errNotWellFormed
	}
	if len(s.item) >= s.maxBytes {
		return nil, errTooLarge
	}
	s.item = append(s.item, c)
	switch s.mode {
	case inText:
		switch c {
		case '<':
			s.mode, s.tagStart = inTag, len(s.item)-1
		case '&':
			s.mode, s.entityStart = inEntity, len(s.item)
		}
	case inEntity:
		return nil, s.scanEntity(c)
	case inData:
		if c == '>' && bytes.HasSuffix(s.item[s.tagStart:], cdataEnd) {
			s.mode = inText
		}
	case inTag:
		return s.scanTag(c)
	}
	return nil, nil
}

func isWhitespace(c byte) bool { return strings.IndexByte(whitespace, c) >= 0 }

// scanEntity processes a byte of an entity.
func (s *scanner) scanEntity(c byte) error {
	if c != ';' {
		if len(s.item)-s.entityStart > maxEntityBytes || c == '<' {
			return errNotWellFormed
		}
		return nil
	}
	name := string(s.item[s.entityStart : len(s.item)-1])
	known := strings.HasPrefix(name, "#") || strings.Contains(predefinedEntities, " "+name+" ")
	if !known || name == "" {
		return errRestricted
	}
	s.mode = inText
	return nil
}

// scanTag processes a byte of a tag and returns the item that it completes, or nil.
func (s *scanner) scanTag(c byte) (*item, error) {
	tag := s.item[s.tagStart:]
	switch {
	case len(tag) >= 2 && tag[1] == '!':
		return nil, s.scanMarkup(tag)
	case len(tag) >= 2 && tag[1] == '?':
		return nil, s.scanDeclaration(tag, c)
	case s.quote != 0:
		if c == '<' {
			return nil, errNotWellFormed
		}
		if c == s.quote {
			s.quote = 0
		}
		return nil, nil
	case c == '"' || c == '\'':
		s.quote = c
		return nil, nil
	case c == '<' && len(tag) > 1:
		return nil, errNotWellFormed
	case c != '>':
		return nil, nil
	}
	s.started, s.mode = true, inText
	return s.handleTag(tag[1 : len(tag)-1])
}

// scanMarkup processes the beginning of a CDATA section. It rejects document types and comments.
func (s *scanner) scanMarkup(tag []byte) error {
	if len(s.openTags) < 2 || len(tag) > len(cdataStart) || cdataStart[:len(tag)] != string(tag) {
		return errRestricted
	}
	if len(tag) == len(cdataStart) {
		s.mode = inData
	}
	return nil
}

// scanDeclaration processes a byte of an XML declaration, which is allowed before a stream and before its
// restart.
func (s *scanner) scanDeclaration(tag []byte, c byte) error {
	restart := len(s.openTags) == 1 && s.tagStart == 0 && !s.restarted
	other := len(tag) > len(declaration) && string(tag[:len(declaration)]) != declaration
	if s.started && !restart || other || len(tag) > maxDeclarationBytes {
		return errRestricted
	}
	if c != '>' {
		return nil
	}
	if len(tag) < minDeclarationBytes || tag[len(tag)-2] != '?' {
		return errRestricted
	}
	s.started, s.mode, s.item = true, inText, s.item[:0]
	return nil
}

// handleTag processes a complete tag, without its brackets, and returns the item that it completes, or nil.
func (s *scanner) handleTag(tag []byte) (*item, error) {
	if name, end := bytes.CutPrefix(tag, []byte("/")); end {
		return s.handleEndTag(string(bytes.TrimRight(name, whitespace)))
	}
	return s.handleStartTag(tag)
}

func (s *scanner) handleEndTag(name string) (*item, error) {
	if len(s.openTags) == 0 || s.openTags[len(s.openTags)-1] != name {
		return nil, errNotWellFormed
	}
	s.openTags = s.openTags[:len(s.openTags)-1]
	switch len(s.openTags) {
	case 0:
		s.outermost = item{kind: streamEnd, name: name}
		return s.completeItem(), nil
	case 1:
		return s.completeItem(), nil
	}
	return nil, nil
}

func (s *scanner) handleStartTag(tag []byte) (*item, error) {
	text, empty := bytes.CutSuffix(tag, []byte("/"))
	name, err := checkTag(text)
	if err != nil {
		return nil, err
	}
	if len(s.openTags) < 2 {
		s.outermost = item{kind: firstLevelElement, name: name}
	}
	if name == "stream:stream" && len(s.openTags) == 1 && !s.restarted && !empty {
		s.restarted, s.openTags = true, s.openTags[:0]
	}
	if empty {
		switch len(s.openTags) {
		case 0:
			return nil, errNotWellFormed
		case 1:
			return s.completeItem(), nil
		}
		return nil, nil
	}
	if len(s.openTags) >= maxDepth {
		return nil, errTooLarge
	}
	s.openTags = append(s.openTags, name)
	if len(s.openTags) == 1 {
		s.outermost.kind = streamHeader
		return s.completeItem(), nil
	}
	return nil, nil
}

// completeItem returns the current item, which is complete, and prepares for the next one.
func (s *scanner) completeItem() *item {
	it := s.outermost
	it.raw = slices.Clone(s.item)
	s.item = s.item[:0]
	if cap(s.item) > maxKeptBytes { // else each connection would hold on to its largest item
		s.item = nil
	}
	return &it
}
