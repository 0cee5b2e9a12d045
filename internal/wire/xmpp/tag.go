package xmpp

import (
	"bytes"
	"slices"
)

// maxAttributes is the largest number of attributes of a tag.
const maxAttributes = 64

// checkTag checks a start tag, without its brackets, and returns its name. It keeps nothing of the
// attributes: parsed, thousands of short ones take ten times the memory of their text.
func checkTag(tag []byte) (name string, err error) {
	nameText, rest := cutName(tag, whitespace)
	if len(nameText) == 0 || bytes.ContainsAny(nameText, "<>&'\"=/") {
		return "", errNotWellFormed
	}
	var seen [maxAttributes][]byte
	count := 0
	for rest = bytes.Trim(rest, whitespace); len(rest) > 0; rest = bytes.TrimLeft(rest, whitespace) {
		key, _, behind, ok := cutAttribute(rest)
		if !ok || slices.ContainsFunc(seen[:count], func(k []byte) bool { return bytes.Equal(k, key) }) {
			return "", errNotWellFormed
		}
		if count == maxAttributes {
			return "", errTooLarge
		}
		seen[count] = key
		count++
		rest = behind
	}
	return string(nameText), nil
}

// cutName returns the name of a tag, which ends before any byte of ends, and what follows it.
func cutName(tag []byte, ends string) (name, rest []byte) {
	if i := bytes.IndexAny(tag, ends); i >= 0 {
		return tag[:i], tag[i:]
	}
	return tag, nil
}

// cutAttribute returns the name and the value of the attribute with which text begins, and what follows it.
func cutAttribute(text []byte) (name, value, rest []byte, ok bool) {
	name, rest, ok = bytes.Cut(text, []byte("="))
	name, rest = bytes.TrimRight(name, whitespace), bytes.TrimLeft(rest, whitespace)
	quoted := len(rest) > 0 && (rest[0] == '"' || rest[0] == '\'')
	if !ok || len(name) == 0 || bytes.ContainsAny(name, whitespace+"'\"") || !quoted {
		return nil, nil, nil, false
	}
	end := bytes.IndexByte(rest[1:], rest[0])
	if end < 0 {
		return nil, nil, nil, false
	}
	return name, rest[1 : end+1], rest[end+2:], true
}

// attributeOf returns the value of an attribute of the start tag with which the text of an item begins, "" if
// there is none. The scanner has checked the tag.
func attributeOf(raw []byte, name string) string {
	_, rest := cutName(raw, whitespace+"/>")
	for rest = bytes.TrimLeft(rest, whitespace); len(rest) > 0; rest = bytes.TrimLeft(rest, whitespace) {
		if rest[0] == '>' || rest[0] == '/' {
			return ""
		}
		key, value, behind, ok := cutAttribute(rest)
		if !ok {
			return ""
		}
		if string(key) == name {
			return string(value)
		}
		rest = behind
	}
	return ""
}
