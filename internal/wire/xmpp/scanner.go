package xmpp

import "strings"

// The bounds on what one peer may make the relay hold.
const (
	maxDepth            = 32
	maxItemBytes        = 64 << 10
	maxEntityBytes      = 8
	maxDeclarationBytes = 256
)

const (
	blanks              = " \t\r\n"
	cdataStart          = "<![CDATA["
	cdataEnd            = "]]>"
	declaration         = "<?xml"
	ownEntities         = " amp lt gt quot apos " // those that XML itself defines
	minDeclarationBytes = len("<?xml?>")
)

// itemKind says what an item is.
type itemKind uint8

const (
	streamHeader      itemKind = iota // a stream's start tag
	firstLevelElement                 // a complete element of the stream's first level
	streamEnd                         // the stream's end tag
)

// item is one thing that a stream brings: its text as it came, and its outermost tag taken apart.
type item struct {
	kind  itemKind
	raw   []byte
	name  string
	attrs map[string]string
}

// scanner cuts a stream into items. It takes bytes as they come, so a read may end anywhere. It rejects what
// RFC 6120 restricts: document types, processing instructions, comments, entities of one's own.
type scanner struct {
	item        []byte // the item that is being read
	tagStart    int    // where its latest tag begins
	mode        scanMode
	quote       byte // that an attribute's value began with, 0 outside of values
	entityStart int  // where an entity begins
	openTags    []string
	started     bool // something has come: an XML declaration is allowed no more
	restarted   bool // the stream has been restarted, as it is once after SASL
	outermost   item // the outermost tag of the item
}

// scanMode says what the scanner is within.
type scanMode uint8

const (
	inText scanMode = iota
	inTag
	inData // CDATA
	inEntity
)

// feed takes bytes and returns the items that they complete. Its error is a streamError; nothing may be fed
// after it.
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

// scanByte takes one byte and returns the item that it completes, if it does.
func (s *scanner) scanByte(c byte) (*item, error) {
	if c < ' ' && !isBlank(c) {
		return nil, errNotWellFormed
	}
	if s.mode == inText && len(s.openTags) < 2 && c != '<' { // between items only blanks may stand
		if isBlank(c) {
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
		return nil, s.scanEntity(c)
	case inData:
		if c == '>' && strings.HasSuffix(string(s.item[s.tagStart:]), cdataEnd) {
			s.mode = inText
		}
	case inTag:
		return s.scanTag(c)
	}
	return nil, nil
}

func isBlank(c byte) bool { return strings.IndexByte(blanks, c) >= 0 }

// scanEntity takes a byte of an entity.
func (s *scanner) scanEntity(c byte) error {
	if c != ';' {
		if len(s.item)-s.entityStart > maxEntityBytes || c == '<' {
			return errNotWellFormed
		}
		return nil
	}
	name := string(s.item[s.entityStart : len(s.item)-1])
	known := strings.HasPrefix(name, "#") || strings.Contains(ownEntities, " "+name+" ")
	if !known || name == "" {
		return errRestricted
	}
	s.mode = inText
	return nil
}

// scanTag takes a byte of a tag.
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
	return s.takeTag(string(tag[1 : len(tag)-1]))
}

// scanMarkup takes the beginning of a CDATA section. Document types and comments are restricted.
func (s *scanner) scanMarkup(tag []byte) error {
	if len(s.openTags) < 2 || len(tag) > len(cdataStart) || cdataStart[:len(tag)] != string(tag) {
		return errRestricted
	}
	if len(tag) == len(cdataStart) {
		s.mode = inData
	}
	return nil
}

// scanDeclaration takes a byte of an XML declaration, as it may stand before a stream and before its restart.
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

// takeTag takes a complete tag, without its brackets, and returns the item that it completes, if it does.
func (s *scanner) takeTag(tag string) (*item, error) {
	if name, end := strings.CutPrefix(tag, "/"); end {
		return s.takeEndTag(strings.TrimRight(name, blanks))
	}
	return s.takeStartTag(tag)
}

func (s *scanner) takeEndTag(name string) (*item, error) {
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

func (s *scanner) takeStartTag(tag string) (*item, error) {
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

// takeItem returns the item that has just been completed.
func (s *scanner) takeItem() *item {
	it := s.outermost
	it.raw = append([]byte(nil), s.item...)
	s.item = s.item[:0]
	return &it
}

// parseTag takes a start tag apart.
func parseTag(tag string) (name string, attrs map[string]string, err error) {
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
		quoted := rest != "" && (rest[0] == '"' || rest[0] == '\'')
		if !ok || key == "" || strings.ContainsAny(key, blanks+"'\"") || !quoted {
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
