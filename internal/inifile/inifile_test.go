package inifile

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// values has a value of each type of field.
type values struct {
	wait  time.Duration
	count int
	share float64
	rate  float64
	size  int
	on    bool
	list  []string
}

// sizeLimit is the largest size in the test, in bytes.
const sizeLimit = 1 << 30

var valueFields = []Field[values]{
	Duration("wait", "", 0, math.MaxInt64, func(v *values) *time.Duration { return &v.wait }),
	Int("count", "", "", math.MinInt, math.MaxInt, func(v *values) *int { return &v.count }),
	Float("share", "", -math.MaxFloat64, math.MaxFloat64, func(v *values) *float64 { return &v.share }),
	Rate("rate", "", math.MaxFloat64, func(v *values) *float64 { return &v.rate }),
	Size("size", "", 0, sizeLimit, func(v *values) *int { return &v.size }),
	Bool("on", "", func(v *values) *bool { return &v.on }),
	List("list", "", "", "", ValidName, func(v *values) *[]string { return &v.list }),
}

// TestFieldsRoundTrip prints values of every type of field into a file and
// reads them back.
func TestFieldsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := values{
			wait:  time.Duration(rapid.Int64Min(0).Draw(t, "wait")),
			count: rapid.Int().Draw(t, "count"),
			share: rapid.Float64().Draw(t, "share"),
			rate:  rapid.Float64Min(0).Draw(t, "rate"),
			size:  rapid.IntRange(0, sizeLimit).Draw(t, "size"),
			on:    rapid.Bool().Draw(t, "on"),
			list:  rapid.SliceOfN(rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,5}`), 1, 3).Draw(t, "list"),
		}
		text := "[section]\n"
		for _, entry := range Encode(valueFields, &want) {
			text += entry.Key + " = " + entry.Value + "\n"
		}
		file, err := Parse("f.ini", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		var got values
		if problems := Decode("f.ini", file.Sections[0], valueFields, &got); len(problems) > 0 {
			t.Fatal(problems)
		}
		NewWithT(t).Expect(got).To(Equal(want))
	})
}

// TestWrongUnits covers values whose unit is missing or that of another type.
func TestWrongUnits(t *testing.T) {
	fields := map[string][]string{
		"wait":  {"1", "1MiB", "-1s", "1 s", ""},
		"count": {"1.5", "1k", "0x10", ""},
		"share": {"1%", "NaN", "Inf", ""},
		"rate":  {"1", "1 requests/s", "-1 tokens/s", "tokens/s"},
		"size":  {"1", "1KB", "1.5MiB", "-1B", "9999999MiB"},
		"on":    {"true", "1", "Yes", ""},
		"list":  {"a b", "a,,b", ","},
	}
	for _, field := range valueFields {
		for _, text := range fields[field.Key] {
			var v values
			NewWithT(t).Expect(field.Set(&v, text)).NotTo(Succeed(), "%s = %s", field.Key, text)
		}
	}
}

func TestTooLarge(t *testing.T) {
	_, err := Parse("f.ini", []byte(strings.Repeat("#", MaxSize+1)))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("a file of at most")))
}
