package membership

import "strconv"

// textOf is the text of an enumeration's value; one that the table does not have is said by its number.
func textOf(texts []string, value uint8) string {
	if int(value) < len(texts) {
		return texts[value]
	}
	return "unknown " + strconv.Itoa(int(value))
}
