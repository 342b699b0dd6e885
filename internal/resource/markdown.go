package resource

import (
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

//go:generate go run ./gen ../../docs/MANIFEST-KEYS.md

// markdownHead starts the page of manifest keys.
const markdownHead = `# Manifest keys

Generated from ` + "`internal/resource`" + ` by ` + "`go generate ./...`" + `; a test holds it to the code.

[RESOURCES.md](RESOURCES.md) says what the resources are for and how they are changed. A section of any
kind may also have these keys:

| Key | Meaning |
| --- | --- |
| ` + "`revision`" + ` | Revision of the resource's last change when it was read; 0: it must not exist yet. The change fails with code 500 if the resource is at another. |
| ` + "`delete`" + ` | ` + "`yes`" + ` takes the resource away; no key beside ` + "`revision`" + ` may stand with it. |
`

// Markdown returns the documentation page of the keys of all kinds.
func Markdown() string {
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, kind := range Kinds {
		b.WriteString("\n## [" + string(kind) + " NAME]\n\n")
		b.WriteString(inifile.Markdown(KeyDocs(kind)))
	}
	return b.String()
}
