package membership

import "strconv"

// textOf returns the text of an enumeration's value, or a text with its number if the table has none.
func textOf(texts []string, value uint8) string {
	if int(value) < len(texts) {
		return texts[value]
	}
	return "unknown " + strconv.Itoa(int(value))
}
