package report

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// shortWindow, middleWindow and longestWindow are the windows that burn
	// rates are worked out over.
	shortWindow   = 5 * time.Minute
	middleWindow  = time.Hour
	longestWindow = 6 * time.Hour
	// settleTime is the least time between the end of the windows and now, so
	// that every host has had time to write.
	settleTime = minute
	// fastBurn over the short and the middle window spends 2 % of a budget of
	// 30 days in an hour; slowBurn over the middle and the longest window spends
	// 5 % in 6 hours.
	fastBurn = 14.4
	slowBurn = 6
)

// windows holds the windows from the shortest on.
var windows = []time.Duration{shortWindow, middleWindow, longestWindow}

// Alert says how urgent a burn is.
type Alert string

// Alerts.
const (
	AlertNone Alert = "none"
	AlertSlow Alert = "slow burn"
	AlertFast Alert = "fast burn"
)

// Burn is how fast an error budget burns over one window.
type Burn struct {
	Window time.Duration `json:"window_ns"`
	// Total and Good count the answers that the objective is about.
	Total uint64 `json:"total"`
	Good  uint64 `json:"good"`
	// Rate is the share of answers that were not good over the share that the
	// objective allows: at 1 the budget lasts just as long as it is meant for.
	Rate float64 `json:"rate"`
	// FirstToken and TokenGap are the shares of answers whose first token and
	// time between tokens were within the objective; 1 without such answers.
	FirstToken float64 `json:"first_token_share"`
	TokenGap   float64 `json:"token_gap_share"`
}

// Point is the burn rate of one period.
type Point struct {
	Time time.Time `json:"time"`
	Rate float64   `json:"rate"`
	// Known says that there were answers.
	Known bool `json:"known"`
}

// Line is the burn of one tier, or of one team in it.
type Line struct {
	Tier ident.Tier `json:"tier"`
	// Team is empty for the whole tier.
	Team ident.Team `json:"team,omitempty"`
	// Objective is the wanted share of answers that are whole and in time.
	Objective float64 `json:"objective"`
	Burns     []Burn  `json:"burns"`
	Alert     Alert   `json:"alert"`
	// Series holds the burn rate by period over the longest window, for a whole
	// tier only.
	Series []Point `json:"series,omitempty"`
}

// Missing is a stretch of one host's counts that the report doesn't have.
type Missing struct {
	// Host is empty where no host's counts could be read.
	Host   ident.Host `json:"host,omitempty"`
	From   time.Time  `json:"from"`
	To     time.Time  `json:"to"`
	Reason string     `json:"reason"`
}

// Report is the burn report.
type Report struct {
	// End is the end of the windows.
	End time.Time `json:"end"`
	// Lines is sorted by tier and team; a tier's own line comes first.
	Lines []Line `json:"lines"`
	// Hosts counts the host processes whose counts are in the report.
	Hosts int `json:"hosts"`
	// Missing is empty when the report is whole.
	Missing []Missing `json:"missing,omitempty"`
}

// Input is what a report is worked out from.
type Input struct {
	Objectives []resource.Objective
	Sums       *Sums
	// Live lists the hosts that are expected to have written up to now.
	Live []ident.Host
	// Unread lists what couldn't be read.
	Unread []Missing
}

// Compute works the report out. It is a pure function of its input.
func Compute(in *Input) *Report {
	r := &Report{End: in.Sums.end, Hosts: len(in.Sums.covered)}
	objectives := slices.SortedFunc(slices.Values(in.Objectives), func(a, b resource.Objective) int {
		return cmp.Compare(a.Tier, b.Tier)
	})
	for i := range objectives {
		r.Lines = append(r.Lines, lines(&objectives[i], in.Sums)...)
	}
	r.Missing = append(slices.Clone(in.Unread), gaps(in)...)
	return r
}

// lines returns the line of an objective's tier and those of its teams.
func lines(objective *resource.Objective, sums *Sums) []Line {
	keys := slices.SortedFunc(maps.Keys(sums.lines), func(a, b lineKey) int { return cmp.Compare(a.team, b.team) })
	whole := line(objective, lineKey{tier: objective.Tier}, sums)
	whole.Series = series(objective, sums.line(lineKey{tier: objective.Tier}), sums.end)
	list := []Line{whole}
	for _, key := range keys {
		if key.tier == objective.Tier && key.team != "" {
			list = append(list, line(objective, key, sums))
		}
	}
	return list
}

// line works out one line.
func line(objective *resource.Objective, key lineKey, sums *Sums) Line {
	l := Line{Tier: key.tier, Team: key.team, Objective: objective.Goodput}
	for _, window := range windows {
		counts := sums.line(key).last(int(window / period))
		l.Burns = append(l.Burns, Burn{
			Window: window, Total: counts.Total, Good: counts.Good, Rate: rate(&counts, objective),
			FirstToken: share(counts.FirstGood, counts.First), TokenGap: share(counts.GapGood, counts.Gap),
		})
	}
	l.Alert = alert(l.Burns)
	return l
}

// rate returns the burn rate of counts; 0 without answers.
func rate(c *Counts, objective *resource.Objective) float64 {
	allowed := 1 - objective.Goodput
	if c.Total == 0 || allowed <= 0 {
		return 0
	}
	burned := float64(c.Total-c.Good) / float64(c.Total) / allowed
	const digits = 1e6
	return math.Round(burned*digits) / digits
}

// share returns good over total; 1 if there are none.
func share(good, total uint64) float64 {
	if total == 0 {
		return 1
	}
	return float64(good) / float64(total)
}

// alert says how urgent the burns are. Two windows must agree: the longer one
// says that it matters, the shorter one that it still goes on.
func alert(burns []Burn) Alert {
	short, middle, longest := burns[0].Rate, burns[1].Rate, burns[2].Rate
	switch {
	case short >= fastBurn && middle >= fastBurn:
		return AlertFast
	case middle >= slowBurn && longest >= slowBurn:
		return AlertSlow
	}
	return AlertNone
}

// series returns the burn rate by period, oldest first.
func series(objective *resource.Objective, counts *byPeriod, end time.Time) []Point {
	points := make([]Point, 0, periodsShown)
	for before := periodsShown - 1; before >= 0; before-- {
		c := &counts[before]
		points = append(points, Point{
			Time: end.Add(-time.Duration(before+1) * period), Rate: rate(c, objective), Known: c.Total > 0,
		})
	}
	return points
}
