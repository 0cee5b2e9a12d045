package xmpp

import (
	"errors"
	"strings"
)

// The bounds on what one peer may make the relay hold.
const (
	maxDepth     = 32
	maxItemBytes = 64 << 10
)

// A scan that fails is answered with the stream error that RFC 6120 names for it.
var (
	errNotWellFormed = errors.New("not-well-formed")
	errRestricted    = errors.New("restricted-xml")
	errTooLarge      = errors.New("policy-violation")
)

type itemKind uint8

const (
	streamHeader      itemKind = iota // a stream's start tag
	firstLevelElement                 // a whole element of the stream's first level
	streamEnd                         // the stream's end tag
)

// item is one thing that a stream brings: its text as it came, and its outermost tag taken apart.
type item struct {
	kind  itemKind
	raw   []byte
	name  string
	attrs map[string]string
}

// scanner cuts a stream into items. It takes bytes as they come, so a read may end anywhere. It refuses
// what RFC 6120 restricts: document types, processing instructions, comments, entities of one's own.
type scanner struct {
	item        []byte // the item that is being read
	tagStart    int    // where its latest tag begins
	mode        scanMode
	quote       byte
	entityStart int // where an entity begins
	openTags    []string
	started     bool // something has come: an XML declaration is allowed no more
	restarted   bool // the stream has been restarted, as it is once after SASL
	outermost   item // the outermost tag of the item
}

type scanMode uint8

const (
	inText scanMode = iota
	inTag
	inData // CDATA
	inEntity
)

// feed takes bytes and returns the items that they complete.
func (s *scanner) feed(p []byte) (items []item, err error) {
	for _, c := range p {
		it, err := s.scanByte(c)
		if err != nil {
			return items, err
		}
		if it != nil {
			items = append(items, *it)
		}
	}
	return items, nil
}

func (s *scanner) scanByte(c byte) (*item, error) {
	if c < ' ' && c != '\t' && c != '\n' && c != '\r' {
		return nil, errNotWellFormed
	}
	if s.mode == inText && len(s.openTags) < 2 && c != '<' { // between items only blanks may stand
		if c == ' ' || c == '\t' || c == '\n' || c == '\r' {
			return nil, nil
		}
		return nil, errNotWellFormed
	}
	if len(s.item) >= maxItemBytes {
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
		if c == ';' {
			name := string(s.item[s.entityStart : len(s.item)-1])
			if !strings.HasPrefix(name, "#") && !strings.Contains(" amp lt gt quot apos ", " "+name+" ") || name == "" {
				return nil, errRestricted
			}
			s.mode = inText
		} else if len(s.item)-s.entityStart > 8 || c == '<' {
			return nil, errNotWellFormed
		}
	case inData:
		if c == '>' && strings.HasSuffix(string(s.item[s.tagStart:]), "]]>") {
			s.mode = inText
		}
	case inTag:
		return s.scanTag(c)
	}
	return nil, nil
}

// scanTag takes a byte of a tag.
func (s *scanner) scanTag(c byte) (*item, error) {
	tag := s.item[s.tagStart:]
	const data = "<![CDATA["
	switch {
	case len(tag) >= 2 && tag[1] == '!':
		if len(s.openTags) < 2 || len(tag) > len(data) || data[:len(tag)] != string(tag) {
			return nil, errRestricted // a document type or a comment
		}
		if len(tag) == len(data) {
			s.mode = inData
		}
		return nil, nil
	case len(tag) >= 2 && tag[1] == '?':
		restart := len(s.openTags) == 1 && s.tagStart == 0 && !s.restarted
		if s.started && !restart || len(tag) > 5 && string(tag[:5]) != "<?xml" || len(tag) > 256 {
			return nil, errRestricted
		}
		if c == '>' {
			if len(tag) < 7 || tag[len(tag)-2] != '?' {
				return nil, errRestricted
			}
			s.started, s.mode, s.item = true, inText, s.item[:0]
		}
		return nil, nil
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
	return s.endTag(string(tag[1 : len(tag)-1]))
}

// endTag takes a whole tag, without its brackets.
func (s *scanner) endTag(tag string) (*item, error) {
	if name, end := strings.CutPrefix(tag, "/"); end {
		name = strings.TrimRight(name, " \t\r\n")
		if len(s.openTags) == 0 || s.openTags[len(s.openTags)-1] != name {
			return nil, errNotWellFormed
		}
		s.openTags = s.openTags[:len(s.openTags)-1]
		switch len(s.openTags) {
		case 0:
			s.outermost = item{kind: streamEnd, name: name}
			return s.takeItem(), nil
		case 1:
			return s.takeItem(), nil
		}
		return nil, nil
	}
	text, empty := strings.CutSuffix(tag, "/")
	name, attrs, err := parseTag(text)
	if err != nil {
		return nil, err
	}
	if len(s.openTags) < 2 {
		s.outermost = item{kind: firstLevelElement, name: name, attrs: attrs}
	}
	if name == "stream:stream" && len(s.openTags) == 1 && !s.restarted && !empty {
		s.restarted, s.openTags = true, s.openTags[:0]
	}
	if empty {
		switch len(s.openTags) {
		case 0:
			return nil, errNotWellFormed
		case 1:
			return s.takeItem(), nil
		}
		return nil, nil
	}
	if len(s.openTags) >= maxDepth {
		return nil, errTooLarge
	}
	s.openTags = append(s.openTags, name)
	if len(s.openTags) == 1 {
		s.outermost.kind = streamHeader
		return s.takeItem(), nil
	}
	return nil, nil
}

func (s *scanner) takeItem() *item {
	it := s.outermost
	it.raw = append([]byte(nil), s.item...)
	s.item = s.item[:0]
	return &it
}

// parseTag takes a start tag apart.
func parseTag(tag string) (name string, attrs map[string]string, err error) {
	const blanks = " \t\r\n"
	name = tag
	if i := strings.IndexAny(tag, blanks); i >= 0 {
		name, tag = tag[:i], tag[i:]
	} else {
		tag = ""
	}
	if name == "" || strings.ContainsAny(name, "<>&'\"=/") {
		return "", nil, errNotWellFormed
	}
	attrs = map[string]string{}
	for tag = strings.Trim(tag, blanks); tag != ""; tag = strings.TrimLeft(tag, blanks) {
		key, rest, ok := strings.Cut(tag, "=")
		key, rest = strings.TrimRight(key, blanks), strings.TrimLeft(rest, blanks)
		if !ok || key == "" || strings.ContainsAny(key, blanks+"'\"") || rest == "" || rest[0] != '"' && rest[0] != '\'' {
			return "", nil, errNotWellFormed
		}
		end := strings.IndexByte(rest[1:], rest[0])
		if _, twice := attrs[key]; end < 0 || twice {
			return "", nil, errNotWellFormed
		}
		attrs[key], tag = rest[1:end+1], rest[end+2:]
	}
	return name, attrs, nil
}
