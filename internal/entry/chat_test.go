package entry

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
)

// TestEndpointBodyMatchesCheckedRequest guards against checking other values than the endpoint
// reads, by duplicate members or names that differ in case.
func TestEndpointBodyMatchesCheckedRequest(t *testing.T) {
	g := NewWithT(t)
	m, err := parseChatRequest([]byte(`{"model":"a","stream":false,"STREAM":false,"max_tokens":5,` +
		`"max_tokens":7,"max_completion_tokens":9,"seed":1,"messages":[{"role":"user","content":"x"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.maxTokens).To(Equal(7))
	out, err := m.endpointBody(6)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(MatchJSON(`{"model":"a","stream":true,"STREAM":false,"max_tokens":6,"seed":1,` +
		`"messages":[{"role":"user","content":"x"}]}`))
}

// FuzzChat checks that the endpoint's body for an accepted request parses to the same
// request, except for the stream and the limit of tokens.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"a","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"a","model":"b","messages":[{}]}`))
	f.Add([]byte(`{"messages":[null],"stream":null}`))
	f.Add([]byte(`null`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Add([]byte(`{"max_tokens":-1,"messages":[{"content":[1]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := parseChatRequest(body)
		if err != nil {
			return
		}
		out, err := m.endpointBody(4)
		if err != nil || !json.Valid(out) {
			t.Fatalf("%q: %v", out, err)
		}
		again, err := parseChatRequest(out)
		if err != nil {
			t.Fatal(err)
		}
		g := NewWithT(t)
		g.Expect(again.stream).To(BeTrue())
		g.Expect(again.maxTokens).To(Equal(4))
		g.Expect(again.model).To(Equal(m.model))
		g.Expect(again.messages).To(Equal(m.messages))
	})
}
