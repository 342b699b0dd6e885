package result

import (
	"fmt"
	"strings"
)

//go:generate go run ./gen ../../docs/RESULT-CODES.md

// markdownHead starts the page of result codes.
const markdownHead = `# Result codes

Generated from ` + "`internal/result`" + ` by ` + "`go generate ./...`" + `; a test holds it to the code.

Every answer to a caller that isn't whole, every refused change and every failed command carries one of
these codes, and logs name them. A number is never used again for something else.

* 1xx: answered.
* 2xx: refused. The request has not reached an endpoint.
* 3xx: the outcome is unknown. The request may have run.
* 4xx: a mistake in the request. It has not reached an endpoint.
* 5xx: configuration, platform and faults of the system.

*Ran* says whether the request reached an endpoint. *Send again* says whether and when a caller may
repeat the request; where it names Retry-After, the answer has that header, computed from the queue.

| Code | Name | HTTP status | Ran | Send again | Meaning |
| --- | --- | --- | --- | --- | --- |
`

// Markdown returns the documentation page of Table.
func Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, info := range Table {
		_, _ = fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s |\n",
			int(info.Code), info.Name, info.Status, info.Ran, info.Resend, info.Meaning)
	}
	return b.String()
}
