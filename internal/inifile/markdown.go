package inifile

import "strings"

// Markdown returns a table of the keys for the documentation.
func Markdown(docs []Doc) string {
	var b strings.Builder
	b.WriteString("| Key | Unit | Default | Range | Meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, doc := range docs {
		cells := []string{"`" + doc.Key + "`", doc.Unit, doc.defaultText(), doc.Range, doc.Meaning + doc.startText()}
		for i, cell := range cells {
			cells[i] = strings.ReplaceAll(cell, "|", "\\|")
		}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return b.String()
}

// startText tells of a key that is read at the start alone.
func (d Doc) startText() string {
	if d.ReadAtStart {
		return " Read at the start alone."
	}
	return ""
}

// defaultText returns the default as the documentation shows it.
func (d Doc) defaultText() string {
	if d.Required {
		return "none, must be set"
	}
	if d.Default == "" {
		return "empty"
	}
	return "`" + d.Default + "`"
}
