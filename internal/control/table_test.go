package control

import (
	"context"
	"slices"
	"strings"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// table is an in-memory platform table with injected failures.
type table struct {
	rows    map[string]platform.Row
	version uint64
	down    bool
	// lostAnswerShare is the share of commits whose answer is lost, half of them before
	// and half after the commit takes effect.
	lostAnswerShare float64
	// cut holds the domains that cannot reach the table.
	cut map[ident.Domain]bool
}

// Get implements platform.Table.
func (t *table) Get(_ context.Context, key string) (platform.Row, error) {
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Commit implements platform.Table.
func (t *table) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	t.version++
	for _, p := range txn.Puts {
		t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: t.version}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return t.version, nil
}

// List implements platform.Table.
func (t *table) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)], nil
}

// call carries out a platform call of a host, subject to the current failures.
func (sim *simulation) call(host ident.Host, c system.Call) {
	reply := system.Reply{Owner: c.Owner, Token: c.Token}
	if sim.table.cut[sim.hosts[host].domain] {
		reply.Err = platform.ErrAmbiguous
		sim.post(host, Replied{Reply: reply}, lostAnswerDelay)
		return
	}
	lost := c.Kind == system.CallCommit && sim.rng.Float64() < sim.table.lostAnswerShare
	before := lost && sim.rng.IntN(2) == 0
	sim.at(sim.now+callDelay, func() {
		if sim.table.down {
			reply.Err = platform.ErrUnavailable
			sim.post(host, Replied{Reply: reply}, callDelay)
			return
		}
		if !before {
			sim.table.answer(c, &reply)
		}
		if lost {
			reply.Rows, reply.Version, reply.Err = nil, 0, platform.ErrAmbiguous
			sim.post(host, Replied{Reply: reply}, lostAnswerDelay)
			return
		}
		sim.post(host, Replied{Reply: reply}, callDelay)
	})
}

// answer carries out a call that reached the table.
func (t *table) answer(c system.Call, reply *system.Reply) {
	ctx := context.Background()
	switch c.Kind {
	case system.CallGet:
		var row platform.Row
		row, reply.Err = t.Get(ctx, c.Key)
		reply.Rows = []platform.Row{row}
	case system.CallList:
		reply.Rows, reply.Err = t.List(ctx, c.Key, c.After, c.Limit)
	case system.CallCommit:
		reply.Version, reply.Err = t.Commit(ctx, c.Txn)
	default:
		reply.Err = platform.ErrNotFound
	}
}
