package settings

import (
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// Sections of the settings.
const (
	sectionHost      = "host"
	sectionCallers   = "callers"
	sectionAdmin     = "admin"
	sectionPeer      = "peer"
	sectionPlatform  = "platform"
	sectionLog       = "log"
	sectionMetrics   = "metrics"
	sectionRetry     = "retry"
	sectionQuota     = "quota"
	sectionEndpoints = "endpoints"
	sectionMemory    = "memory"
	sectionRollout   = "rollout"
	sectionDomains   = "domains"
	sectionTeams     = "teams"
)

// Bounds of settings.
const (
	minGrace = time.Second
	maxGrace = time.Hour
)

var (
	secretPattern = regexp.MustCompile(`^[!-~]{16,256}$`)
	tokenPattern  = regexp.MustCompile(`^([!-~]{16,256})?$`)
)

// group is one section with its keys.
type group[T any] struct {
	name   string
	fields []inifile.Field[T]
}

// groups holds every section in the order of the documentation.
var groups = []group[Entry]{
	{sectionHost, []inifile.Field[Entry]{
		inifile.Name("name", "Name of the host, unique in the deployment.",
			func(e *Entry) *ident.Host { return &e.Host }),
		inifile.Name("domain", "Failure domain that the host stands in.",
			func(e *Entry) *ident.Domain { return &e.Domain }),
		inifile.Duration("drain_grace", "Longest time that a planned stop waits for its requests.", minGrace, maxGrace,
			func(e *Entry) *time.Duration { return &e.DrainGrace }).Optional("10m0s"),
	}},
	{sectionCallers, []inifile.Field[Entry]{
		inifile.Address("listen", "Where callers connect.",
			func(e *Entry) *string { return &e.Listen }).Optional("127.0.0.1:7070"),
	}},
	{sectionAdmin, []inifile.Field[Entry]{
		inifile.Address("listen", "Where operators connect.",
			func(e *Entry) *string { return &e.AdminListen }).Optional("127.0.0.1:7071"),
		inifile.Matching("token", "Bearer token of the operators; empty on a loopback address only.",
			"empty, or 16 to 256 printable characters without spaces", tokenPattern,
			func(e *Entry) *string { return &e.AdminToken }).Optional(""),
	}},
	{sectionPeer, []inifile.Field[Entry]{
		inifile.Address("listen", "Where the other entry hosts connect; also the address they are told.",
			func(e *Entry) *string { return &e.PeerListen }),
		inifile.List("seeds", "IP:port", "Peer addresses to try beside the platform's host list.",
			"IP addresses and ports, separated by commas", inifile.ValidAddress,
			func(e *Entry) *[]string { return &e.Seeds }).Optional(""),
		inifile.Matching("secret", "Shared by all entry hosts; links without it are refused.",
			"16 to 256 printable characters without spaces", secretPattern,
			func(e *Entry) *string { return &e.PeerSecret }),
	}},
	{sectionPlatform, []inifile.Field[Entry]{
		platformURL(),
	}},
	{sectionLog, []inifile.Field[Entry]{
		inifile.Choice("level", "Least level that is logged.", levels(),
			func(e *Entry) *string { return &e.LogLevel }).Optional(logrus.InfoLevel.String()),
		inifile.Text("trace", "File that the trace of decisions is appended to; empty: none.",
			func(e *Entry) *string { return &e.Trace }).Optional(""),
	}},
}

// platformURL is the key of the platform's address.
func platformURL() inifile.Field[Entry] {
	return inifile.Custom("url", "URL", "Base URL of the platform's services.",
		"http:// with an IP address and port, as in http://10.0.0.9:7000", validURL,
		func(e *Entry) *string { return &e.Platform })
}

// levels returns the names of the log levels that may be set.
func levels() []string {
	return []string{
		logrus.ErrorLevel.String(), logrus.WarnLevel.String(), logrus.InfoLevel.String(), logrus.DebugLevel.String(),
	}
}

func known[T any](groups []group[T], section string) bool {
	for _, group := range groups {
		if group.name == section {
			return true
		}
	}
	return false
}

func sectionNames[T any](groups []group[T]) string {
	names := make([]string, len(groups))
	for i, group := range groups {
		names[i] = group.name
	}
	return strings.Join(names, ", ")
}

// Section describes one section for the documentation.
type Section struct {
	Name string
	Keys []inifile.Doc
}

// Docs describes every section and key of an entry host.
func Docs() []Section {
	return docs(groups)
}

// GatewayDocs describes every section and key of a gateway.
func GatewayDocs() []Section {
	return docs(gatewayGroups)
}

func docs[T any](groups []group[T]) []Section {
	sections := make([]Section, len(groups))
	for i, group := range groups {
		sections[i].Name = group.name
		for _, field := range group.fields {
			sections[i].Keys = append(sections[i].Keys, field.Doc)
		}
	}
	return sections
}
