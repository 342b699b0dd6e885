package settings

import "strings"

// blankUnrendered empties the lines of template sections that were not rendered: those from a
// line {{#NAME}} to the line {{/NAME}}. A renderer that fills in values only leaves them as they
// are; what they are about is off then. A section without an end stays and is an error.
func blankUnrendered(data []byte) []byte {
	text := string(data)
	if !strings.Contains(text, "{{#") {
		return data
	}
	lines := strings.Split(text, "\n")
	for i := 0; i < len(lines); i++ {
		name, ok := tagName(lines[i], "{{#")
		if !ok {
			continue
		}
		for j := i + 1; j < len(lines); j++ {
			if end, ok := tagName(lines[j], "{{/"); ok && end == name {
				clear(lines[i : j+1])
				i = j
				break
			}
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

// tagName returns the name in a line that consists of a tag with the given opening.
func tagName(line, opening string) (string, bool) {
	rest, ok := strings.CutPrefix(strings.TrimSpace(line), opening)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, "}}")
}
