package inifile

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Doc describes one key for the documentation and for messages.
type Doc struct {
	Key string
	// Unit is the unit of the value; empty for text.
	Unit string
	// Default is the value used when the key is missing; "" with Required
	// false means empty.
	Default string
	// Required says that the key has no default.
	Required bool
	// Range says which values are taken.
	Range string
	// Meaning is one sentence.
	Meaning string
	// ReadAtStart says that a change takes effect at the next start.
	ReadAtStart bool
}

// Field is one key of a section that fills a T.
type Field[T any] struct {
	Doc
	// Set parses the text into v. Its error says what was expected.
	Set func(v *T, text string) error
	// Get returns the text that Set would parse to the same value.
	Get func(v *T) string
	// Copy sets the value in one T to that in another.
	Copy func(to, from *T)
}

// Optional returns the field with a default.
func (f Field[T]) Optional(text string) Field[T] {
	f.Required = false
	f.Default = text
	return f
}

// AtStart makes the field one that is read at the start alone.
func (f Field[T]) AtStart() Field[T] {
	f.ReadAtStart = true
	return f
}

// Decode fills v from the section: defaults first, then the entries. It
// returns every problem found.
func Decode[T any](file string, section Section, fields []Field[T], v *T) Problems {
	var problems Problems
	seen := map[string]bool{}
	for _, entry := range section.Entries {
		seen[entry.Key] = true
		if want := setEntry(fields, v, entry); want != "" {
			problems = append(problems, Problem{
				File: file, Line: entry.Line, Section: section.Name, Key: entry.Key, Want: want, Got: entry.Value,
			})
		}
	}
	for _, field := range fields {
		if seen[field.Key] {
			continue
		}
		if field.Required {
			problems = append(problems, Problem{
				File: file, Line: section.Line, Section: section.Name, Key: field.Key, Want: "the key; it has no default",
			})
			continue
		}
		if err := field.Set(v, field.Default); err != nil {
			panic("inifile: bad default of " + field.Key + ": " + err.Error())
		}
	}
	return problems
}

// setEntry sets one entry and returns what was expected if that fails.
func setEntry[T any](fields []Field[T], v *T, entry Entry) string {
	keys := make([]string, len(fields))
	for i, field := range fields {
		if field.Key != entry.Key {
			keys[i] = field.Key
			continue
		}
		if err := field.Set(v, entry.Value); err != nil {
			return err.Error()
		}
		return ""
	}
	return "one of the keys " + strings.Join(keys, ", ")
}

// Encode returns the entries that Decode would read to v.
func Encode[T any](fields []Field[T], v *T) []Entry {
	entries := make([]Entry, len(fields))
	for i, field := range fields {
		entries[i] = Entry{Key: field.Key, Value: field.Get(v)}
	}
	return entries
}

// parsed builds a required field from a parser and a printer of its value.
func parsed[T, V any](doc Doc, at func(*T) *V, parse func(string) (V, bool), text func(V) string) Field[T] {
	doc.Required = true
	return Field[T]{
		Doc: doc,
		Set: func(v *T, s string) error {
			value, ok := parse(s)
			if !ok {
				return errors.New(doc.Range)
			}
			*at(v) = value
			return nil
		},
		Get:  func(v *T) string { return text(*at(v)) },
		Copy: func(to, from *T) { *at(to) = *at(from) },
	}
}

// Duration is a time with its unit, between low and high.
func Duration[T any](key, meaning string, low, high time.Duration, at func(*T) *time.Duration) Field[T] {
	doc := Doc{
		Key: key, Unit: "time with unit (ms, s, m, h)", Meaning: meaning,
		Range: "a time with its unit between " + low.String() + " and " + high.String(),
	}
	return parsed(doc, at, func(s string) (time.Duration, bool) {
		d, err := time.ParseDuration(s)
		return d, err == nil && d >= low && d <= high
	}, time.Duration.String)
}

// Int is a whole number between low and high.
func Int[T any](key, unit, meaning string, low, high int, at func(*T) *int) Field[T] {
	doc := Doc{
		Key: key, Unit: unit, Meaning: meaning,
		Range: "a whole number between " + strconv.Itoa(low) + " and " + strconv.Itoa(high),
	}
	return parsed(doc, at, func(s string) (int, bool) {
		n, err := strconv.Atoi(s)
		return n, err == nil && n >= low && n <= high
	}, strconv.Itoa)
}

// Float is a number between low and high without a unit.
func Float[T any](key, meaning string, low, high float64, at func(*T) *float64) Field[T] {
	doc := Doc{
		Key: key, Meaning: meaning,
		Range: "a number between " + formatFloat(low) + " and " + formatFloat(high),
	}
	return parsed(doc, at, func(s string) (float64, bool) {
		n, err := strconv.ParseFloat(s, 64)
		return n, err == nil && n >= low && n <= high
	}, formatFloat)
}

// rateUnit is the unit that rates must be written with.
const rateUnit = "tokens/s"

// Rate is a number of tokens a second up to high, written with its unit.
func Rate[T any](key, meaning string, high float64, at func(*T) *float64) Field[T] {
	doc := Doc{
		Key: key, Unit: rateUnit, Meaning: meaning,
		Range: "a rate between 0 and " + formatFloat(high) + " with its unit, as in 250 " + rateUnit,
	}
	return parsed(doc, at, func(s string) (float64, bool) {
		number, ok := strings.CutSuffix(s, rateUnit)
		if !ok {
			return 0, false
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		return n, err == nil && n >= 0 && n <= high
	}, func(n float64) string { return formatFloat(n) + " " + rateUnit })
}

func formatFloat(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// sizeUnits holds the units of sizes from the largest down.
var sizeUnits = []struct {
	name  string
	bytes int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Size is a number of bytes between low and high, written with its unit.
func Size[T any](key, meaning string, low, high int, at func(*T) *int) Field[T] {
	doc := Doc{
		Key: key, Unit: "size with unit (B, KiB, MiB)", Meaning: meaning,
		Range: "a size with its unit between " + formatSize(low) + " and " + formatSize(high),
	}
	return parsed(doc, at, func(s string) (int, bool) {
		n, ok := parseSize(s)
		return n, ok && n >= low && n <= high
	}, formatSize)
}

func parseSize(s string) (int, bool) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(s, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		return n * unit.bytes, err == nil && n >= 0 && n <= MaxSize<<10
	}
	return 0, false
}

func formatSize(n int) string {
	for _, unit := range sizeUnits {
		if n >= unit.bytes && n%unit.bytes == 0 {
			return strconv.Itoa(n/unit.bytes) + unit.name
		}
	}
	return "0B"
}

// Bool is yes or no.
func Bool[T any](key, meaning string, at func(*T) *bool) Field[T] {
	doc := Doc{Key: key, Meaning: meaning, Range: "yes or no"}
	return parsed(doc, at, func(s string) (bool, bool) {
		return s == "yes", s == "yes" || s == "no"
	}, func(b bool) string {
		if b {
			return "yes"
		}
		return "no"
	})
}

// namePattern is what a name of a resource, host or domain looks like.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// NameRange says what ValidName takes.
const NameRange = "a name of up to 63 lower-case letters, digits, dots, dashes and underscores"

// ValidName says whether s can name a resource, host or domain.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}

// Name is a name as ValidName takes it.
func Name[T any, S ~string](key, meaning string, at func(*T) *S) Field[T] {
	doc := Doc{Key: key, Meaning: meaning, Range: NameRange}
	return parsed(doc, at, func(s string) (S, bool) { return S(s), ValidName(s) }, text[S])
}

// maxText bounds free text, in bytes.
const maxText = 1024

// Text is free text of up to 1024 bytes, or empty where it is optional.
func Text[T any, S ~string](key, meaning string, at func(*T) *S) Field[T] {
	doc := Doc{Key: key, Meaning: meaning, Range: "text of up to " + strconv.Itoa(maxText) + " bytes"}
	return parsed(doc, at, func(s string) (S, bool) { return S(s), len(s) <= maxText }, text[S])
}

// Matching is text that the pattern matches; words says so.
func Matching[T any, S ~string](key, meaning, words string, pattern *regexp.Regexp, at func(*T) *S) Field[T] {
	doc := Doc{Key: key, Meaning: meaning, Range: words}
	return parsed(doc, at, func(s string) (S, bool) { return S(s), pattern.MatchString(s) }, text[S])
}

// Custom is text that valid takes; words says so.
func Custom[T any](key, unit, meaning, words string, valid func(string) bool, at func(*T) *string) Field[T] {
	doc := Doc{Key: key, Unit: unit, Meaning: meaning, Range: words}
	return parsed(doc, at, func(s string) (string, bool) { return s, valid(s) }, text[string])
}

// Choice is one of the given values.
func Choice[T any, S ~string](key, meaning string, choices []S, at func(*T) *S) Field[T] {
	names := make([]string, len(choices))
	for i, choice := range choices {
		names[i] = string(choice)
	}
	doc := Doc{Key: key, Meaning: meaning, Range: "one of " + strings.Join(names, ", ")}
	return parsed(doc, at, func(s string) (S, bool) {
		for _, choice := range choices {
			if s == string(choice) {
				return choice, true
			}
		}
		return "", false
	}, text[S])
}

func text[S ~string](s S) string { return string(s) }

// addressRange says what ValidAddress takes.
const addressRange = "an IP address and port, as in 10.0.0.1:7070 or [fd00::1]:7070"

// ValidAddress says whether s is an IP address with a port. Host names are
// refused: hosts and endpoints are reached by IP address alone.
func ValidAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == ""
}

// Address is an IP address and port.
func Address[T any](key, meaning string, at func(*T) *string) Field[T] {
	doc := Doc{Key: key, Unit: "IP:port", Meaning: meaning, Range: addressRange}
	return parsed(doc, at, func(s string) (string, bool) { return s, ValidAddress(s) }, text[string])
}

// listSeparator stands between the elements of a list.
const listSeparator = ","

// List is a list of elements, separated by commas, that valid takes.
func List[T any](key, unit, meaning, words string, valid func(string) bool, at func(*T) *[]string) Field[T] {
	doc := Doc{Key: key, Unit: unit, Meaning: meaning, Range: words}
	return parsed(doc, at, func(s string) ([]string, bool) {
		if s == "" {
			return nil, true
		}
		list := strings.Split(s, listSeparator)
		for i := range list {
			list[i] = strings.TrimSpace(list[i])
			if !valid(list[i]) {
				return nil, false
			}
		}
		return list, true
	}, func(list []string) string { return strings.Join(list, listSeparator+" ") })
}
