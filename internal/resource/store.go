package resource

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Limits of a Store.
const (
	// MaxChangeItems is the most resources that one change may write.
	MaxChangeItems = 1000
	// ChangesKept is how many changes can be watched and settled by their id
	// after they were made.
	ChangesKept = 1024

	listPage       = 500
	commitAttempts = 10
	loadAttempts   = 10
	backoffFirst   = 20 * time.Millisecond
	backoffMost    = time.Second
	retryAfter     = 5 * time.Second
)

// Store keeps the resources in the platform's table. Each change writes its
// resources, the change's own row and the revision row in one transaction that
// is conditioned on the version of the revision row; so changes have one
// order, and a change that raced another writes nothing. A Store has no state
// of its own: any number may work on one table.
type Store struct {
	table platform.Table
	// kept is how many changes are kept.
	kept uint64
	// committed is told of each snapshot that a commit of this Store has made; nil:
	// nobody is.
	committed func(*Snapshot)
}

// NewStore returns a Store on the table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table, kept: ChangesKept}
}

// Notify sets a function that is told of each snapshot that a commit of this
// Store has made. It is to be called before the Store is used.
func (s *Store) Notify(committed func(*Snapshot)) {
	s.committed = committed
}

// tell tells of a snapshot that a commit has made.
func (s *Store) tell(snapshot *Snapshot) {
	if s.committed != nil {
		s.committed(snapshot)
	}
}

// Change is a wanted change of resources.
type Change struct {
	// ID identifies the change across repetitions; it must not be empty.
	ID    string
	Items []Item
	// Base is the revision that the change must directly follow; nil: any.
	Base *uint64
}

// Applied is an accepted change.
type Applied struct {
	// Revision is the revision at which the change is part of the resources.
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Unchanged says that the resources already were as the change wants them.
	Unchanged bool `json:"unchanged"`
}

// InvalidError says what makes a change invalid.
type InvalidError struct {
	Problems []Problem
}

// Error returns the first problem.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return "invalid resources"
	}
	return e.Problems[0].String()
}

// state is a consistent read of the table.
type state struct {
	snapshot *Snapshot
	// version is the version of the revision row; 0: there is none.
	version uint64
}

// Load returns the resources at the latest revision.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	st, err := s.load(ctx)
	if err != nil {
		return nil, coded(err)
	}
	return st.snapshot, nil
}

// load reads the revision row before and after the resources, until no change
// came between.
func (s *Store) load(ctx context.Context) (state, error) {
	before, version, err := s.revision(ctx)
	if err != nil {
		return state{}, err
	}
	for range loadAttempts {
		rows, err := s.list(ctx, ResourcePrefix, "")
		if err != nil {
			return state{}, err
		}
		after, versionAfter, err := s.revision(ctx)
		if err != nil {
			return state{}, err
		}
		if version == versionAfter {
			snapshot, err := SnapshotFromRows(after.Revision, rows)
			return state{snapshot: snapshot, version: version}, err
		}
		before, version = after, versionAfter
	}
	return state{}, errors.Wrapf(platform.ErrConflict, "resources kept changing up to revision %d", before.Revision)
}

// revision reads the revision row; without one it returns zeroes.
func (s *Store) revision(ctx context.Context) (RevisionRow, uint64, error) {
	row, err := s.table.Get(ctx, RevisionKey)
	if errors.Is(err, platform.ErrNotFound) {
		return RevisionRow{}, 0, nil
	}
	if err != nil {
		return RevisionRow{}, 0, err
	}
	value, err := DecodeRevisionRow(row.Value)
	return value, row.Version, err
}

// list returns all rows with the prefix after a key.
func (s *Store) list(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	var all []platform.Row
	for {
		rows, err := s.table.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < listPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// ChangesAfter returns the changes after a revision in order. It fails with
// WatchGone if they are no longer kept or the revision never was.
func (s *Store) ChangesAfter(ctx context.Context, revision uint64) ([]ChangeRow, error) {
	current, _, err := s.revision(ctx)
	if err != nil {
		return nil, coded(err)
	}
	changes, err := s.changes(ctx, revision)
	if err != nil {
		return nil, coded(err)
	}
	missing := current.Revision > revision && (len(changes) == 0 || changes[0].Revision != revision+1)
	if missing || revision > current.Revision {
		return nil, result.New(result.WatchGone, "the changes after that revision are not kept; read the resources afresh")
	}
	return changes, nil
}

// changes reads the kept changes after a revision.
func (s *Store) changes(ctx context.Context, revision uint64) ([]ChangeRow, error) {
	rows, err := s.list(ctx, ChangePrefix, changeKey(revision))
	if err != nil {
		return nil, err
	}
	changes := make([]ChangeRow, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, errors.Wrapf(err, "resource: row %q", row.Key)
		}
	}
	return changes, nil
}

// Apply makes the change and returns the revision it led to. Repeating a
// change with the same id has no further effect while the change is kept.
//
// Errors: *InvalidError if the resources would not be valid together, and
// *result.Error: Conflict if a resource or the revision is not as the change
// says it was read, PlatformDown if nothing was written, StoreAmbiguous if it
// could not be found out whether the change was made.
func (s *Store) Apply(ctx context.Context, change Change) (Applied, error) {
	if change.ID == "" || len(change.ID) > maxChangeID || len(change.Items) > MaxChangeItems {
		reason := fmt.Sprintf("a change needs an id of up to %d bytes and at most %d resources", maxChangeID, MaxChangeItems)
		return Applied{}, result.New(result.InvalidConfig, reason)
	}
	a := &application{store: s, change: change, sum: sumItems(change.Items)}
	return a.run(ctx)
}

// coded turns an error of the platform into one with a result code.
func coded(err error) error {
	var known *result.Error
	var invalid *InvalidError
	if err == nil || errors.As(err, &known) || errors.As(err, &invalid) {
		return err
	}
	code := result.Internal
	switch {
	case errors.Is(err, platform.ErrConflict):
		code = result.Conflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrLimited),
		errors.Is(err, platform.ErrAmbiguous), errors.Is(err, context.DeadlineExceeded):
		code = result.PlatformDown
	}
	return &result.Error{Code: code, Reason: err.Error(), RetryAfter: retryAfter}
}

// pause waits before the next attempt, a random part of a time that doubles,
// or until the context ends.
func pause(ctx context.Context, attempt int) {
	longest := min(backoffFirst<<attempt, backoffMost)
	timer := time.NewTimer(longest/2 + rand.N(longest/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
