package resource

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const sample = `
[tier urgent]
rank = 0
deadline = 30s

[team billing]
tier = urgent
key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef

[endpoint gpu-1]
address = 127.0.0.1:9001
domain = a
target = small
type = engine
slots = 8
prefill_rate = 4000 tokens/s
decode_rate = 60 tokens/s

[route chat]
path = /v1/chat/completions
model = small
target = small
type = engine
idempotent = yes

[objective urgent]
tier = urgent
goodput = 0.99

[order warm]
endpoint = gpu-1
action = load_adapter
value = bills
`

func parse(t *testing.T, text string) *Manifest {
	t.Helper()
	m, err := ParseManifest("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestManifestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	first := parse(t, sample)
	g.Expect(first.Items).To(HaveLen(6))
	again := parse(t, string(Print(first.Items)))
	g.Expect(again.Items).To(Equal(first.Items))
	g.Expect(Validate(NewSnapshot().With(1, first.Items))).To(BeEmpty())
}

// TestManifestProblems covers what a manifest alone may have wrong.
func TestManifestProblems(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":       {"[tier a]\nrank = 0\nspeed = 3", "test.ini:3: [tier a] speed: expected one of the keys rank, deadline, max_queued"},
		"missing key":       {"\n[tier a]\n", "test.ini:2: [tier a] rank: expected the key"},
		"no unit":           {"[tier a]\nrank = 0\ndeadline = 30", `test.ini:3: [tier a] deadline: expected a time with its unit between 1ms and 24h0m0s, got "30"`},
		"wrong unit":        {"[tier a]\nrank = 0\ndeadline = 30MiB", "expected a time with its unit"},
		"out of range":      {"[tier a]\nrank = 99", "test.ini:2: [tier a] rank: expected a whole number between 0 and 15"},
		"rate without unit": {strings.Replace(sample, "4000 tokens/s", "4000", 1), "test.ini:16: [endpoint gpu-1] prefill_rate: expected a rate"},
		"host name":         {strings.Replace(sample, "127.0.0.1:9001", "gpu:9001", 1), "test.ini:11: [endpoint gpu-1] address: expected an IP address and port"},
		"not finite":        {strings.Replace(sample, "0.99", "NaN", 1), "goodput: expected a number"},
		"unknown kind":      {"[teer a]\n", "test.ini:1: [teer a] expected [kind name] with one of the kinds tier,"},
		"bad name":          {"[tier A]\nrank = 0", "lower-case letters"},
		"no name":           {"[tier]\nrank = 0", "[kind name]"},
		"twice":             {"[tier a]\nrank = 0\n[tier a]\nrank = 1", "test.ini:3: [tier a] expected each section once; it stands on line 1"},
		"twice with space":  {"[tier a]\nrank = 0\n[tier  a]\nrank = 1", "test.ini:3: [tier  a] expected each resource once"},
		"key twice":         {"[tier a]\nrank = 0\nrank = 1", "test.ini:3: [tier a] rank: expected each key once; it stands on line 2"},
		"delete with keys":  {"[tier a]\ndelete = yes\nrank = 0", "test.ini:3: [tier a] rank: expected no key beside delete and revision"},
		"bad delete":        {"[tier a]\ndelete = maybe", "test.ini:2: [tier a] delete: expected yes or no"},
		"bad revision":      {"[tier a]\nrevision = -1\nrank = 0", "test.ini:2: [tier a] revision: expected a revision"},
		"key before":        {"rank = 0", "test.ini:1: expected a [section] before the first key"},
		"no value":          {"[tier a]\nrank", "test.ini:2: [tier a] expected key = value"},
		"quotes":            {"[tier a]\nrank = \"\"\"0\n1\"\"\"", "a value on one line without quotes"},
		"comment in value":  {"[tier a]\nrank = 0 ; high", "test.ini:2: [tier a] rank: expected a whole number"},
		"not text":          {"[tier a]\nrank = 0\xff", "expected UTF-8 text"},
		"default section":   {"[DEFAULT]\nrank = 0", "expected a section name"},
		"empty":             {"# nothing\n", "expected at least one section"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseManifest("test.ini", []byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

// TestValidate covers what resources may have wrong together.
func TestValidate(t *testing.T) {
	cases := map[string]struct{ change, want string }{
		"tier of team":      {"[team x]\ntier = none\nkey_sha256 =", "test.ini:2: [team x] tier: expected the name of a declared tier"},
		"tier of objective": {"[objective x]\ntier = none\ngoodput = 0.9", "test.ini:2: [objective x] tier: expected the name of a declared tier"},
		"tier in use":       {"[tier urgent]\ndelete = yes", "test.ini: [team billing] tier: expected the name of a declared tier"},
		"rank twice":        {"[tier x]\nrank = 0", "test.ini:2: [tier x] rank: expected a value that no other tier has; urgent has it"},
		"key twice":         {"[team x]\ntier = urgent\nkey_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "key_sha256: expected a value that no other team has"},
		"address twice":     {"[endpoint x]\naddress = 127.0.0.1:9001\ndomain = a\ntarget = s\ntype = service\nslots = 1", "address: expected a value that no other endpoint has"},
		"type of target":    {"[endpoint x]\naddress = 127.0.0.1:9002\ndomain = a\ntarget = small\ntype = service\nslots = 1", "type: expected the type of the target's other endpoints, engine"},
		"engine's speeds":   {"[endpoint x]\naddress = 127.0.0.1:9002\ndomain = a\ntarget = small\ntype = engine\nslots = 1", "prefill_rate: expected a rate above 0"},
		"target of route":   {"[route x]\npath = /x\ntarget = none\ntype = service\nidempotent = no", "test.ini:3: [route x] target: expected the target of a declared endpoint"},
		"last endpoint":     {"[endpoint gpu-1]\ndelete = yes", "test.ini: [route chat] target: expected the target of a declared endpoint"},
		"type of route":     {"[route x]\npath = /x\ntarget = small\ntype = service\nidempotent = no", "type: expected the type of the target's endpoints, engine"},
		"types on a path":   {"[endpoint x]\naddress = 127.0.0.1:9002\ndomain = a\ntarget = s\ntype = service\nslots = 1\n[route x]\npath = /v1/chat/completions\ntarget = s\ntype = service\nidempotent = no", "type: expected the type of the path's other routes, engine"},
		"route twice":       {"[route x]\npath = /v1/chat/completions\nmodel = small\ntarget = small\ntype = engine\nidempotent = no", "path: expected a value that no other route has"},
		"model missing":     {"[route x]\npath = /x\ntarget = small\ntype = engine\nidempotent = no", "model: expected the model of an engine's route"},
		"no tokens":         {"[route x]\npath = /x\nmodel = small\ntarget = small\ntype = engine\nidempotent = no\nmax_tokens = 0", "max_tokens: expected at least 1 on an engine's route"},
		"objective twice":   {"[objective x]\ntier = urgent\ngoodput = 0.9", "tier: expected a value that no other objective has"},
		"endpoint of order": {"[order x]\nendpoint = none\naction = set_role\nvalue = decode", "test.ini:2: [order x] endpoint: expected the name of a declared endpoint of type engine"},
		"orders cross":      {"[order x]\nendpoint = gpu-1\naction = set_role\nvalue = a\n[order y]\nendpoint = gpu-1\naction = set_role\nvalue = b", "action: expected a value that no other order has; x has it"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := parse(t, c.change)
			problems := Validate(NewSnapshot().With(1, parse(t, sample).Items).With(2, m.Items))
			g.Expect(problems).NotTo(BeEmpty())
			g.Expect(m.Locate(problems[0]).String()).To(ContainSubstring(c.want))
		})
	}
}

func TestDelta(t *testing.T) {
	g := NewWithT(t)
	from := NewSnapshot().With(3, parse(t, sample).Items)
	to := from.With(4, parse(t, "[order warm]\ndelete = yes\n[tier low]\nrank = 3\n[tier urgent]\nrank = 1").Items)
	delta, err := Diff(from, to)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := EncodeDelta(delta)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := DecodeDelta(data)
	g.Expect(err).NotTo(HaveOccurred())
	next, err := decoded.Apply(from)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next).To(Equal(to))
	g.Expect(from.Orders).To(HaveLen(1))
	_, err = decoded.Apply(to)
	g.Expect(err).To(HaveOccurred())
}

func FuzzManifest(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[tier a]\ndelete = yes\nrevision = 3"))
	f.Add([]byte("[tier a.b]\nrank = 0 \n[tier a]\nrank\x0b= 1"))
	f.Add([]byte("[team a]\ntier = %(tier)s\nkey_sha256 = `x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest("fuzz.ini", data)
		if err != nil {
			return
		}
		again, err := ParseManifest("again.ini", Print(m.Items))
		if err != nil {
			t.Fatalf("printed form is not valid: %v\n%s", err, Print(m.Items))
		}
		NewWithT(t).Expect(again.Items).To(Equal(m.Items))
	})
}

func FuzzSnapshot(f *testing.F) {
	seed, err := EncodeSnapshot(NewSnapshot().With(1, mustParse(sample)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"revision":1,"tiers":null}`))
	f.Add([]byte(`{"revision":1,"tiers":{"a":{"name":"b"}},"changed":{"tier/a":1}}`))
	f.Add([]byte(`{"base":0,"revision":1,"items":[{"kind":"tier","name":"a","changed":1,"spec":{"name":"a"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		if delta, err := DecodeDelta(data); err == nil {
			_, _ = delta.Apply(NewSnapshot())
		}
		s, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		Validate(s)
		encoded, err := EncodeSnapshot(s)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := DecodeSnapshot(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(s))
	})
}

func mustParse(text string) []Item {
	m, err := ParseManifest("test.ini", []byte(text))
	if err != nil {
		panic(err)
	}
	return m.Items
}

// TestPage holds docs/MANIFEST-KEYS.md to the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/MANIFEST-KEYS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/MANIFEST-KEYS.md is not up to date; run go generate ./...")
	}
}

// TestSamples checks that each sample manifest is valid by itself.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../samples/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no samples", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		g := NewWithT(t)
		m, err := ParseManifest(file, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Validate(NewSnapshot().With(1, m.Items))).To(BeEmpty(), file)
	}
}
