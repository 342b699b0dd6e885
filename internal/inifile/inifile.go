// Package inifile reads INI files strictly: every section and key keeps its
// line, nothing may stand twice, and values are taken as they are written.
// Settings and resource manifests are both read through it.
package inifile

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxSize is the largest file that Parse takes, in bytes.
const MaxSize = 4 << 20

// Entry is one key with its value as written.
type Entry struct {
	Key   string
	Value string
	// Line counts from 1.
	Line int
}

// Section is one section with its entries in the order of the file.
type Section struct {
	Name    string
	Line    int
	Entries []Entry
}

// File is a parsed file with its sections in order.
type File struct {
	// Name is the file's name for messages.
	Name     string
	Sections []Section
}

// Parse reads a file. The error is of type Problems and lists everything that
// is wrong with the file's form.
func Parse(name string, data []byte) (*File, error) {
	if len(data) > MaxSize {
		return nil, Problems{{File: name, Want: "a file of at most " + strconv.Itoa(MaxSize) + " bytes"}}
	}
	ix := newIndex(name)
	ix.scan(data)
	if len(ix.problems) > 0 {
		return nil, ix.problems
	}
	parsed, err := ini.LoadSources(loadOptions(), data)
	if err != nil {
		return nil, Problems{{File: name, Want: "an INI file", Got: err.Error()}}
	}
	return ix.fill(parsed)
}

// loadOptions turns off everything that would let a value mean something other
// than what its line says.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
	}
}

// index finds the lines of sections and keys, which the library doesn't tell,
// and the repetitions that it would merge.
type index struct {
	file     *File
	sections map[string]int
	keys     map[string]int
	problems Problems
}

func newIndex(name string) *index {
	return &index{file: &File{Name: name}, sections: map[string]int{}}
}

// scan indexes all lines.
func (ix *index) scan(data []byte) {
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		ix.problem(Problem{Want: "UTF-8 text"})
		return
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, MaxSize+1)
	for number := 1; lines.Scan(); number++ {
		ix.line(number, strings.TrimSpace(lines.Text()))
	}
}

// line indexes one line without its surrounding space.
func (ix *index) line(number int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		ix.header(number, text)
	default:
		ix.entry(number, text)
	}
}

// header indexes the start of a section.
func (ix *index) header(number int, text string) {
	if text[len(text)-1] != ']' {
		ix.problem(Problem{Line: number, Want: "[section] alone on its line", Got: text})
		return
	}
	name := strings.TrimSpace(text[1 : len(text)-1])
	if name == "" || strings.ContainsAny(name, "[]\"`") || strings.EqualFold(name, ini.DefaultSection) {
		ix.problem(Problem{Line: number, Want: "a section name", Got: text})
		return
	}
	if first, ok := ix.sections[name]; ok {
		ix.problem(Problem{Line: number, Section: name, Want: "each section once; it stands on line " + strconv.Itoa(first)})
	}
	ix.sections[name] = number
	ix.keys = map[string]int{}
	ix.file.Sections = append(ix.file.Sections, Section{Name: name, Line: number})
}

// entry indexes one key.
func (ix *index) entry(number int, text string) {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if len(ix.file.Sections) == 0 {
		ix.problem(Problem{Line: number, Want: "a [section] before the first key", Got: text})
		return
	}
	section := &ix.file.Sections[len(ix.file.Sections)-1]
	if !found || !plainKey(key) {
		ix.problem(Problem{Line: number, Section: section.Name, Want: "key = value", Got: text})
		return
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		ix.problem(Problem{Line: number, Section: section.Name, Key: key, Want: "a value on one line without quotes"})
		return
	}
	if first, ok := ix.keys[key]; ok {
		ix.problem(Problem{Line: number, Section: section.Name, Key: key, Want: "each key once; it stands on line " + strconv.Itoa(first)})
		return
	}
	ix.keys[key] = number
	section.Entries = append(section.Entries, Entry{Key: key, Line: number})
}

// plainKey says whether key has only lower-case letters, digits and
// underscores.
func plainKey(key string) bool {
	for _, r := range key {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return false
		}
	}
	return key != ""
}

// fill takes the values from the library's result.
func (ix *index) fill(parsed *ini.File) (*File, error) {
	for i := range ix.file.Sections {
		section := &ix.file.Sections[i]
		from, err := parsed.GetSection(section.Name)
		if err != nil || len(from.Keys()) != len(section.Entries) {
			ix.problem(Problem{Line: section.Line, Section: section.Name, Want: "key = value on each line"})
			continue
		}
		values := from.KeysHash()
		for j := range section.Entries {
			entry := &section.Entries[j]
			entry.Value = values[entry.Key]
		}
	}
	if len(ix.problems) > 0 {
		return nil, ix.problems
	}
	return ix.file, nil
}

func (ix *index) problem(p Problem) {
	p.File = ix.file.Name
	ix.problems = append(ix.problems, p)
}
