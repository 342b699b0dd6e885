package resource

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// maxChangeID bounds the id of a change, in bytes.
const maxChangeID = 128

// application is one run of Store.Apply.
//
// Invariant: each commit is conditioned on a version of the revision row that
// was read before the kept changes were searched for the change's id. A commit
// whose answer was lost and its repetition can therefore not both take effect:
// either the search finds the first, or the condition stops the second.
type application struct {
	store  *Store
	change Change
	sum    string
	// unsettled says that a commit on unsettledVersion was sent and that it
	// isn't known whether it took effect.
	unsettled        bool
	unsettledVersion uint64
}

// run tries until the change is made, found made, or impossible.
func (a *application) run(ctx context.Context) (Applied, error) {
	var last error
	for attempt := range commitAttempts {
		if attempt > 0 {
			pause(ctx, attempt)
		}
		applied, err := a.attempt(ctx)
		if err == nil || !retryable(err) {
			return applied, coded(err)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	if a.unsettled {
		return Applied{}, &result.Error{
			Code: result.StoreAmbiguous, RetryAfter: retryAfter,
			Reason: "the answer to change " + a.change.ID + " was lost and reading it back failed: " + last.Error(),
		}
	}
	return Applied{}, coded(last)
}

// retryable says whether another attempt may end otherwise.
func retryable(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrAmbiguous) || errors.Is(err, platform.ErrLimited) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// attempt reads the table and commits at most once.
func (a *application) attempt(ctx context.Context) (Applied, error) {
	st, err := a.store.load(ctx)
	if err != nil {
		return Applied{}, err
	}
	made, err := a.findMade(ctx)
	if err != nil || made.Revision != 0 {
		return made, err
	}
	if st.version != a.unsettledVersion {
		a.unsettled = false
	}
	items, err := a.resolve(st.snapshot)
	if err != nil {
		return Applied{}, err
	}
	if len(items) == 0 {
		return Applied{Revision: st.snapshot.Revision, ChangeID: a.change.ID, Unchanged: true}, nil
	}
	return a.commit(ctx, &st, items)
}

// findMade looks for the change's id among the kept changes. The revision is 0
// if it isn't there.
func (a *application) findMade(ctx context.Context) (Applied, error) {
	changes, err := a.store.changes(ctx, 0)
	if err != nil {
		return Applied{}, err
	}
	for _, made := range changes {
		if made.ChangeID != a.change.ID {
			continue
		}
		if made.Sum != a.sum {
			return Applied{}, result.New(result.Conflict, "the change id "+a.change.ID+" stands for another change")
		}
		return Applied{Revision: made.Revision, ChangeID: made.ChangeID}, nil
	}
	return Applied{}, nil
}

// resolve checks the change against the resources as they are and returns the
// items that differ from them.
func (a *application) resolve(s *Snapshot) ([]Item, error) {
	if a.change.Base != nil && *a.change.Base != s.Revision {
		return nil, conflict("the resources are at revision %d, not at %d", s.Revision, *a.change.Base)
	}
	var items []Item
	for i := range a.change.Items {
		item := a.change.Items[i]
		if !item.valid() {
			return nil, result.New(result.InvalidConfig, "the change holds no valid resource "+item.Key())
		}
		if item.Read != nil && *item.Read != s.Changed[item.Key()] {
			return nil, conflict("%s was changed at revision %d, not at %d", item.Key(), s.Changed[item.Key()], *item.Read)
		}
		present, ok := s.Get(item.Kind, item.Name)
		if item.Deleted && !ok || !item.Deleted && ok && reflect.DeepEqual(present, item.Spec) {
			continue
		}
		items = append(items, item)
	}
	if problems := Validate(s.With(s.Revision+1, items)); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return items, nil
}

func conflict(format string, args ...any) error {
	return result.New(result.Conflict, errors.Errorf(format, args...).Error())
}

// commit writes the items as the next revision.
func (a *application) commit(ctx context.Context, st *state, items []Item) (Applied, error) {
	revision := st.snapshot.Revision + 1
	txn, err := a.transaction(st, revision, items)
	if err != nil {
		return Applied{}, err
	}
	_, err = a.store.table.Commit(ctx, txn)
	if err == nil {
		a.store.tell(st.snapshot.With(revision, items))
		return Applied{Revision: revision, ChangeID: a.change.ID}, nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrLimited) {
		return Applied{}, err
	}
	a.unsettled = true
	a.unsettledVersion = st.version
	return Applied{}, errors.Wrap(platform.ErrAmbiguous, err.Error())
}

// transaction builds the one transaction of a change. It also deletes the
// change row that is no longer kept.
func (a *application) transaction(st *state, revision uint64, items []Item) (platform.Txn, error) {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: RevisionKey, Version: st.version}}}
	row := ChangeRow{Revision: revision, ChangeID: a.change.ID, Sum: a.sum}
	for i := range items {
		item := &items[i]
		row.Items = append(row.Items, ChangedKey{Kind: item.Kind, Name: item.Name, Deleted: item.Deleted})
		if item.Deleted {
			txn.Deletes = append(txn.Deletes, resourceKey(item.Kind, item.Name))
			continue
		}
		put, err := encodeResourceRow(item, revision)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Puts = append(txn.Puts, put)
	}
	if revision > a.store.kept {
		txn.Deletes = append(txn.Deletes, changeKey(revision-a.store.kept))
	}
	return txn, a.putRows(&txn, row)
}

// putRows adds the revision row and the change row.
func (a *application) putRows(txn *platform.Txn, row ChangeRow) error {
	change, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "resource: encode change")
	}
	revision, err := json.Marshal(RevisionRow{Revision: row.Revision, ChangeID: row.ChangeID})
	if err != nil {
		return errors.Wrap(err, "resource: encode revision")
	}
	txn.Puts = append(txn.Puts,
		platform.Put{Key: changeKey(row.Revision), Value: change},
		platform.Put{Key: RevisionKey, Value: revision})
	return nil
}

// sumItems returns a sum that differs for different items.
func sumItems(items []Item) string {
	hash := sha256.New()
	hash.Write(Print(items))
	return hex.EncodeToString(hash.Sum(nil))
}
