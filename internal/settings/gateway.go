package settings

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/inifile"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// Gateway holds the settings of an entry host on the users' platform, where
// configuration and endpoints are found in the platform's store.
type Gateway struct {
	Host   ident.Host
	Domain ident.Domain
	// Region is the group of failure domains whose hosts share the pools.
	Region ident.Domain
	// Listen, ReadyListen, PeerListen and MetricsListen are IP addresses and ports
	// for callers, the balancer, the other hosts and scrapes.
	Listen        string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// Store is the address of the platform's store.
	Store string
	// Memory bounds the process, in MiB.
	Memory int
	// Cores is the speed of the host's processor and CoreShare the part of it that
	// the process may use, in cores.
	Cores, CoreShare float64
	// StopGrace is the time from the signal to stop to the end of the process.
	StopGrace time.Duration
	// KeyLife is how long a host may accept keys without a confirmation that its
	// configuration is the newest one.
	KeyLife time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound further tries of requests at
	// the endpoints of a target, over all hosts.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// QuotaSlack is how far a team may go beyond its rate and burst for a while, in
	// units of its rate.
	QuotaSlack float64
	// QuotaWindow is the window over which teams' rates and bursts are counted.
	QuotaWindow time.Duration
	// HeadLimit bounds the head of an endpoint's answer, EventLimit one event of a
	// stream that may be resumed, in bytes.
	HeadLimit, EventLimit int
	// DiscardWait is how long the rest of an answer that goes to nobody is waited for.
	DiscardWait time.Duration
	// MaxBackoff bounds for how long an endpoint may want nothing from this host.
	MaxBackoff time.Duration
	// CallerBudget bounds what is held for callers, in bytes, and CallerConnections the number
	// of their connections; 0: derived from Memory and the limit of open files.
	CallerBudget, CallerConnections int
	// HeaderLines bounds the lines of a request's head, and EmptyLines those before it.
	HeaderLines, EmptyLines int
	// MinRate is the progress of a caller, in bytes per second, below which it gives way first.
	MinRate int
	// Rollout bounds what a new version gets before it has been judged. Roll-outs are off if
	// it is not enabled.
	Rollout rollout.Bounds
	// Domains prices placements outside a host's failure domain. Without it each costs the same.
	Domains domains.Prices
	// ProtectShares keeps capacity for teams within their share.
	ProtectShares bool
	LogLevel      string
}

// Bounds of the gateway's settings.
const (
	minMemory = 32
	maxMemory = 1 << 20
	maxWindow = time.Hour
	minCores  = 0.001
	maxCores  = 1024
	maxExtra  = 1e6
	maxTokens = 1e9

	minHead, maxHead   = 4 << 10, 1 << 20
	minEvent, maxEvent = 4 << 10, 16 << 20
	maxDiscard         = 10 * time.Second
	maxBackoff         = 1 * time.Hour
	maxBudget          = 1 << 30
	maxCallers         = 1 << 20
	minLines, maxLines = 100, 100_000
	maxRate            = 1 << 20

	minRollback, maxRollback = 100 * time.Millisecond, time.Hour

	maxDelay                 = 10 * time.Second
	minByteCost, maxByteCost = time.Millisecond, time.Hour
)

// gatewayGroups holds every section of a gateway's settings.
var gatewayGroups = []group[Gateway]{
	{sectionHost, []inifile.Field[Gateway]{
		inifile.Name("name", "Name of the host, unique in the deployment.",
			func(g *Gateway) *ident.Host { return &g.Host }).AtStart(),
		inifile.Name("domain", "Failure domain that the host stands in.",
			func(g *Gateway) *ident.Domain { return &g.Domain }).AtStart(),
		inifile.Name("region", "Group of failure domains whose hosts schedule their endpoints together.",
			func(g *Gateway) *ident.Domain { return &g.Region }).AtStart(),
		inifile.Int("memory_mb", "MiB", "Memory that the process may use.", minMemory, maxMemory,
			func(g *Gateway) *int { return &g.Memory }),
		inifile.Float("cores", "Speed of the processor, in cores.", minCores, maxCores,
			func(g *Gateway) *float64 { return &g.Cores }).AtStart(),
		inifile.Float("core_share", "Part of the processor that the process may use.", minCores, 1,
			func(g *Gateway) *float64 { return &g.CoreShare }).AtStart(),
		inifile.Duration("stop_grace", "Time from the signal to stop to the end of the process.", minGrace, maxGrace,
			func(g *Gateway) *time.Duration { return &g.StopGrace }),
	}},
	{sectionCallers, []inifile.Field[Gateway]{
		inifile.Address("listen", "Where callers connect.",
			func(g *Gateway) *string { return &g.Listen }).AtStart(),
		inifile.Address("ready_listen", "Where the balancer asks whether callers are to be sent here.",
			func(g *Gateway) *string { return &g.ReadyListen }).AtStart(),
	}},
	{sectionPeer, []inifile.Field[Gateway]{
		inifile.Address("listen", "Where the other entry hosts connect; also the address they are told.",
			func(g *Gateway) *string { return &g.PeerListen }).AtStart(),
	}},
	{sectionMetrics, []inifile.Field[Gateway]{
		inifile.Address("listen", "Where metrics are scraped.",
			func(g *Gateway) *string { return &g.MetricsListen }).AtStart(),
	}},
	{sectionPlatform, []inifile.Field[Gateway]{
		inifile.Address("store", "The platform's metadata store.",
			func(g *Gateway) *string { return &g.Store }).AtStart(),
		inifile.Duration("key_life", "How long keys are accepted without a confirmation that the configuration is the newest.",
			minGrace, maxGrace, func(g *Gateway) *time.Duration { return &g.KeyLife }),
	}},
	{sectionRetry, []inifile.Field[Gateway]{
		inifile.Float("ratio", "Most further tries for each first try at a target, over all hosts.", 0, 1,
			func(g *Gateway) *float64 { return &g.RetryRatio }),
		inifile.Float("extra", "Most further tries beside the ratio in a window, over all hosts.", 0, maxExtra,
			func(g *Gateway) *float64 { return &g.RetryExtra }),
		inifile.Duration("window", "Window in which tries are counted.", minGrace, maxWindow,
			func(g *Gateway) *time.Duration { return &g.RetryWindow }),
	}},
	{sectionQuota, []inifile.Field[Gateway]{
		inifile.Float("slack", "How far a team may go beyond its rate and burst for a while, in units of its rate.", 0, maxTokens,
			func(g *Gateway) *float64 { return &g.QuotaSlack }),
		inifile.Duration("window", "Window in which what teams send is counted.", minGrace, maxWindow,
			func(g *Gateway) *time.Duration { return &g.QuotaWindow }),
	}},
	{sectionEndpoints, []inifile.Field[Gateway]{
		inifile.Size("head_limit", "Longest head of an endpoint's answer; one that goes on counts as no answer.", minHead, maxHead,
			func(g *Gateway) *int { return &g.HeadLimit }).Optional("64KiB"),
		inifile.Size("event_limit", "Longest event of a stream that may be resumed; one that goes on ends the run.", minEvent, maxEvent,
			func(g *Gateway) *int { return &g.EventLimit }).Optional("1MiB"),
		inifile.Duration("max_backoff", "Longest time for which an endpoint's Retry-After keeps requests from it; a longer one is cut to this, and 0 heeds none.",
			0, maxBackoff, func(g *Gateway) *time.Duration { return &g.MaxBackoff }).Optional("5m"),
		inifile.Duration("discard_wait", "How long the rest of an answer that goes to nobody is waited for, to keep its connection.",
			0, maxDiscard, func(g *Gateway) *time.Duration { return &g.DiscardWait }).Optional("100ms"),
	}},
	{sectionMemory, []inifile.Field[Gateway]{
		inifile.Size("budget", "Most that is held for callers: heads and bodies of requests, and answers that they don't take; 0B derives it from memory_mb.",
			0, maxBudget, func(g *Gateway) *int { return &g.CallerBudget }).Optional("0B"),
		inifile.Int("connections", "connections", "Most connections of callers; 0 derives them from memory_mb and the limit of open files.",
			0, maxCallers, func(g *Gateway) *int { return &g.CallerConnections }).Optional("0"),
		inifile.Int("header_lines", "lines", "Most lines in the head of a request; one that goes on loses its connection.",
			minLines, maxLines, func(g *Gateway) *int { return &g.HeaderLines }).Optional("1000"),
		inifile.Int("empty_lines", "lines", "Most empty lines before the first request of a connection; a caller who sends more loses it.",
			1, maxLines, func(g *Gateway) *int { return &g.EmptyLines }).Optional("16"),
		inifile.Size("min_rate", "Progress in a second below which a caller gives way first when the budget is used up.",
			0, maxRate, func(g *Gateway) *int { return &g.MinRate }).Optional("4KiB"),
	}},
	{sectionRollout, []inifile.Field[Gateway]{
		inifile.Float("share", "Most requests that a new version may get before it has been judged, as a part of all at the target, over all hosts.", 0, 1,
			func(g *Gateway) *float64 { return &g.Rollout.Share }).AtStart(),
		inifile.Float("slack", "Most requests that a new version may get beside the share, over all hosts.", 0, maxExtra,
			func(g *Gateway) *float64 { return &g.Rollout.Slack }).AtStart(),
		inifile.Duration("rollback", "Time from a new version's 50th bad answer until no request is sent to it any more.",
			minRollback, maxRollback, func(g *Gateway) *time.Duration { return &g.Rollout.Rollback }).AtStart(),
	}},
	{sectionTeams, []inifile.Field[Gateway]{
		inifile.Bool("protect_shares", "Whether requests that a team sends far beyond its usual rate stand behind those that all teams send within theirs, also of lower tiers.",
			func(g *Gateway) *bool { return &g.ProtectShares }).AtStart().Optional("no"),
	}},
	{sectionDomains, []inifile.Field[Gateway]{
		inifile.Duration("delay", "One-way delay between two failure domains.", 0, maxDelay,
			func(g *Gateway) *time.Duration { return &g.Domains.Delay }).AtStart(),
		inifile.Duration("byte_cost", "Time of an endpoint's slot that a MiB between failure domains is worth.", minByteCost, maxByteCost,
			func(g *Gateway) *time.Duration { return &g.Domains.ByteCost }).AtStart(),
	}},
	{sectionLog, []inifile.Field[Gateway]{
		inifile.Choice("level", "Least level that is logged.", levels(),
			func(g *Gateway) *string { return &g.LogLevel }).Optional(logrus.InfoLevel.String()),
	}},
}

// optionalSections are the sections of a gateway that may be missing. Each of them turns on a
// part of the gateway, and its keys have no defaults.
var optionalSections = []string{sectionRollout, sectionDomains}

// groupsFor returns the sections of a gateway's settings, without the fields of optional
// sections that are not in the file.
func groupsFor(file *inifile.File) []group[Gateway] {
	list := slices.Clone(gatewayGroups)
	for i := range list {
		inFile := slices.ContainsFunc(file.Sections, func(s inifile.Section) bool { return s.Name == list[i].name })
		if !inFile && slices.Contains(optionalSections, list[i].name) {
			list[i].fields = nil
		}
	}
	return list
}

// ReadGateway reads the settings of a gateway from a file. An error about the
// content is of type inifile.Problems.
func ReadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseGateway(path, data)
}

// ParseGateway reads the settings of a gateway. The name of the file is for
// messages. The error is of type inifile.Problems.
func ParseGateway(name string, data []byte) (*Gateway, error) {
	file, err := inifile.Parse(name, blankUnrendered(data))
	if err != nil {
		return nil, err
	}
	g := &Gateway{}
	if problems := decode(file, groupsFor(file), g); len(problems) > 0 {
		return nil, problems
	}
	return g, nil
}
