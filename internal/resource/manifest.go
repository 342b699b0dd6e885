package resource

import (
	"strconv"
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// Keys that a section of any kind may have beside those of its kind.
const (
	// keyRevision names the revision at which the operator read the resource.
	keyRevision = "revision"
	// keyDelete set to yes takes the resource away.
	keyDelete = "delete"
)

// Manifest is a parsed manifest file.
type Manifest struct {
	File  string
	Items []Item
	// sections holds the section of each item, for the lines of problems.
	sections []inifile.Section
}

// ParseManifest reads an INI manifest: a section "[kind name]" for each
// resource. The error is of type inifile.Problems and lists everything wrong
// that can be seen in the file alone.
func ParseManifest(file string, data []byte) (*Manifest, error) {
	parsed, err := inifile.Parse(file, data)
	if err != nil {
		return nil, err
	}
	m := &Manifest{File: file, sections: parsed.Sections}
	var problems inifile.Problems
	lines := map[string]int{}
	for _, section := range parsed.Sections {
		item, found := parseSection(file, section)
		if first, ok := lines[item.Key()]; ok && len(found) == 0 {
			found = inifile.Problems{{
				File: file, Line: section.Line, Section: section.Name,
				Want: "each resource once; it stands on line " + strconv.Itoa(first),
			}}
		}
		lines[item.Key()] = section.Line
		problems = append(problems, found...)
		m.Items = append(m.Items, item)
	}
	if len(parsed.Sections) == 0 {
		problems = append(problems, inifile.Problem{File: file, Want: "at least one section [kind name]"})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return m, nil
}

// parseSection reads one section.
func parseSection(file string, section inifile.Section) (Item, inifile.Problems) {
	kind, name, _ := strings.Cut(section.Name, " ")
	item := Item{Kind: Kind(kind), Name: strings.TrimSpace(name)}
	t, ok := tables[item.Kind]
	if !ok || !inifile.ValidName(item.Name) {
		return item, inifile.Problems{{
			File: file, Line: section.Line, Section: section.Name,
			Want: "[kind name] with one of the kinds " + kindList() + " and " + inifile.NameRange,
		}}
	}
	rest, problems := parseCommon(file, section, &item)
	if item.Deleted {
		for _, entry := range rest.Entries {
			problems = append(problems, inifile.Problem{
				File: file, Line: entry.Line, Section: section.Name, Key: entry.Key,
				Want: "no key beside " + keyDelete + " and " + keyRevision + " on a resource to delete",
			})
		}
		return item, problems
	}
	spec, more := t.decode(file, item.Name, rest)
	item.Spec = spec
	return item, append(problems, more...)
}

// parseCommon takes the keys that every kind has out of the section.
func parseCommon(file string, section inifile.Section, item *Item) (inifile.Section, inifile.Problems) {
	var problems inifile.Problems
	rest := section
	rest.Entries = nil
	for _, entry := range section.Entries {
		want := ""
		switch entry.Key {
		case keyRevision:
			want = setRead(item, entry.Value)
		case keyDelete:
			want = setDeleted(item, entry.Value)
		default:
			rest.Entries = append(rest.Entries, entry)
		}
		if want != "" {
			problems = append(problems, inifile.Problem{
				File: file, Line: entry.Line, Section: section.Name, Key: entry.Key, Want: want, Got: entry.Value,
			})
		}
	}
	return rest, problems
}

func setRead(item *Item, text string) string {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return "a revision as a whole number, 0 for a resource that must be new"
	}
	item.Read = &revision
	return ""
}

func setDeleted(item *Item, text string) string {
	if text != "yes" && text != "no" {
		return "yes or no"
	}
	item.Deleted = text == "yes"
	return ""
}

func kindList() string {
	names := make([]string, len(Kinds))
	for i, kind := range Kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}

// Locate turns a problem of a snapshot into one of the manifest's lines. The
// problem has no line where the manifest doesn't hold the resource.
func (m *Manifest) Locate(p Problem) inifile.Problem {
	located := inifile.Problem{
		File: m.File, Section: string(p.Kind) + " " + p.Name, Key: p.Key, Want: p.Want, Got: p.Got,
	}
	for i := range m.Items {
		if m.Items[i].Kind != p.Kind || m.Items[i].Name != p.Name {
			continue
		}
		located.Line = m.sections[i].Line
		for _, entry := range m.sections[i].Entries {
			if entry.Key == p.Key {
				located.Line = entry.Line
			}
		}
	}
	return located
}

// Print returns the items as a manifest that ParseManifest reads back to the
// same items.
func Print(items []Item) []byte {
	var b strings.Builder
	for i := range items {
		if i > 0 {
			b.WriteString("\n")
		}
		printItem(&b, &items[i])
	}
	return []byte(b.String())
}

func printItem(b *strings.Builder, item *Item) {
	b.WriteString("[" + string(item.Kind) + " " + item.Name + "]\n")
	if item.Read != nil {
		printEntry(b, keyRevision, strconv.FormatUint(*item.Read, 10))
	}
	if item.Deleted {
		printEntry(b, keyDelete, "yes")
		return
	}
	t, ok := tables[item.Kind]
	if !ok {
		return
	}
	for _, entry := range t.encode(item.Spec) {
		printEntry(b, entry.Key, entry.Value)
	}
}

func printEntry(b *strings.Builder, key, value string) {
	b.WriteString(strings.TrimRight(key+" = "+value, " ") + "\n")
}

// KeyDocs describes the keys of a kind's sections, without those that every
// kind has.
func KeyDocs(kind Kind) []inifile.Doc {
	t, ok := tables[kind]
	if !ok {
		return nil
	}
	return t.docs()
}

// Entries returns the manifest's keys and values of a resource.
func Entries(kind Kind, spec Spec) []inifile.Entry {
	t, ok := tables[kind]
	if !ok {
		return nil
	}
	return t.encode(spec)
}
