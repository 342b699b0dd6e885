package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	// timeText is how times are shown.
	timeText = "2006-01-02 15:04 UTC"
	// wholeTier stands for the team in a tier's own line.
	wholeTier = "(all)"
)

// WriteText writes the report as aligned text.
func (r *Report) WriteText(w io.Writer) error {
	const padding = 2
	out := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	write := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
	write("service-level burn up to %s, from %d host processes\n", r.End.Format(timeText), r.Hosts)
	write("%s\n\n", r.verdict())
	write("%s\n", strings.Join(header(), "\t"))
	for i := range r.Lines {
		write("%s\n", strings.Join(r.Lines[i].cells(), "\t"))
	}
	if len(r.Lines) == 0 {
		write("no objective is declared\n")
	}
	if len(r.Missing) > 0 {
		write("\nmissing counts:\n")
	}
	for _, m := range r.Missing {
		write("%s\n", m.String())
	}
	return errors.Wrap(out.Flush(), "report: write")
}

// verdict says whether the report is whole.
func (r *Report) verdict() string {
	if len(r.Missing) == 0 {
		return "whole: no counts are missing"
	}
	return fmt.Sprintf("PARTIAL: %d stretches of counts are missing, listed below; the rates are those of the rest", len(r.Missing))
}

// header returns the column heads of the lines.
func header() []string {
	cells := []string{"TIER", "TEAM", "OBJECTIVE", "ALERT"}
	for _, window := range windows {
		cells = append(cells, "BURN "+shortDuration(window), "GOOD/ALL "+shortDuration(window))
	}
	return append(cells, "FIRST TOKEN "+shortDuration(middleWindow), "TOKEN GAP "+shortDuration(middleWindow))
}

// cells returns the line under the header.
func (l *Line) cells() []string {
	team := string(l.Team)
	if team == "" {
		team = wholeTier
	}
	cells := []string{string(l.Tier), team, percent(l.Objective), string(l.Alert)}
	for _, burn := range l.Burns {
		cells = append(cells, burn.rateText(), fmt.Sprintf("%d/%d", burn.Good, burn.Total))
	}
	middle := l.Burns[1]
	return append(cells, percent(middle.FirstToken), percent(middle.TokenGap))
}

// rateText returns the rate, or a dash without answers.
func (b *Burn) rateText() string {
	if b.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b.Rate)
}

func percent(share float64) string {
	return fmt.Sprintf("%.2f%%", 100*share)
}

// shortDuration returns whole minutes or hours, as in "5m" or "6h".
func shortDuration(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// String returns "host, from to to: reason".
func (m *Missing) String() string {
	host := "host " + string(m.Host)
	if m.Host == "" {
		host = "all other hosts"
	}
	return fmt.Sprintf("%s, %s to %s: %s", host, m.From.Format(timeText), m.To.Format(timeText), m.Reason)
}
