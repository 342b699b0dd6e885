package platform

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// naiveTable is a table of rows in no order that is scanned as a whole.
type naiveTable struct {
	rows    []platform.Row
	version uint64
}

func (n *naiveTable) commit(txn platform.Txn) (uint64, error) {
	for _, condition := range txn.Conditions {
		version := uint64(0)
		for _, row := range n.rows {
			if row.Key == condition.Key {
				version = row.Version
			}
		}
		if version != condition.Version {
			return 0, platform.ErrConflict
		}
	}
	n.version++
	for _, key := range txn.Deletes {
		n.drop(key)
	}
	for _, put := range txn.Puts {
		n.drop(put.Key)
		n.rows = append(n.rows, platform.Row{Key: put.Key, Value: put.Value, Version: n.version})
	}
	return n.version, nil
}

func (n *naiveTable) drop(key string) {
	n.rows = slices.DeleteFunc(n.rows, func(row platform.Row) bool { return row.Key == key })
}

func (n *naiveTable) list(prefix, after string, limit int) []platform.Row {
	rows := []platform.Row{}
	for _, row := range n.rows {
		if strings.HasPrefix(row.Key, prefix) && row.Key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), limit)]
}

func TestTableDoesAsTheNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		key := rapid.StringMatching(`[ab]{0,3}`)
		real, naive := newTable(), &naiveTable{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			txn := platform.Txn{Deletes: rapid.SliceOfN(key, 0, 2).Draw(t, "deletes")}
			for _, k := range rapid.SliceOfN(key, 0, 2).Draw(t, "puts") {
				txn.Puts = append(txn.Puts, platform.Put{Key: k, Value: []byte(k)})
			}
			for _, k := range rapid.SliceOfN(key, 0, 1).Draw(t, "conditions") {
				version := uint64(rapid.IntRange(0, 2).Draw(t, "version"))
				if rapid.Bool().Draw(t, "right") {
					version = real.rows[k].Version
				}
				txn.Conditions = append(txn.Conditions, platform.Condition{Key: k, Version: version})
			}
			want, wantErr := naive.commit(txn)
			got, err := real.commit(txn)
			g.Expect(got).To(Equal(want))
			g.Expect(err == nil).To(Equal(wantErr == nil))

			prefix, after := key.Draw(t, "prefix"), key.Draw(t, "after")
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			g.Expect(real.list(prefix, after, limit)).To(Equal(naive.list(prefix, after, limit)))
		}
	})
}

func TestTableSharesNoMemory(t *testing.T) {
	g := NewWithT(t)
	real := newTable()
	value := []byte("value")
	_, err := real.commit(platform.Txn{Puts: []platform.Put{{Key: "k", Value: value}}})
	g.Expect(err).NotTo(HaveOccurred())
	value[0] = 'V'
	row, err := real.get("k")
	g.Expect(err).NotTo(HaveOccurred())
	row.Value[0] = 'W'
	again, err := real.get("k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(again.Value, []byte("value"))).To(BeTrue())
}
