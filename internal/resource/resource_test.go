package resource

import (
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
