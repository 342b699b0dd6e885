// Package report is the service-level burn report. Each host counts its final
// answers by period, tier and team and keeps the counts in the object store, so
// that they outlive it; any host reads the counts of all hosts and works out
// how fast each tier and team burns its error budget.
package report

import (
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// minute is the time between two writes of a bucket.
	minute = time.Minute
	// period is the time that one bucket covers, and the resolution of reports.
	period = 5 * time.Minute
	// keyPrefix starts the object keys "burn/<period>/<host>.<incarnation>".
	keyPrefix = "burn/"
	// keyTime is the layout of the period in a key.
	keyTime = "20060102T1504"
	// maxBucketRows bounds the rows of a bucket that is read.
	maxBucketRows = 1 << 20
)

// Counts are the answers of one tier and team.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Total counts the answers that the objective is about.
	Total uint64
	// Good counts those that were whole and in time.
	Good uint64
	// First counts those with a first token, and FirstGood those whose first
	// token came within the objective.
	First     uint64
	FirstGood uint64
	// Gap counts those with a known time between tokens, and GapGood those
	// where it was within the objective.
	Gap     uint64
	GapGood uint64
}

// add adds other to the counts.
func (c *Counts) add(other *Counts) {
	c.Total += other.Total
	c.Good += other.Good
	c.First += other.First
	c.FirstGood += other.FirstGood
	c.Gap += other.Gap
	c.GapGood += other.GapGood
}

// Row is the counts of one tier and team.
type Row struct {
	_      struct{} `cbor:",toarray"`
	Tier   ident.Tier
	Team   ident.Team
	Counts Counts
}

// Bucket is what one host counted in one period.
type Bucket struct {
	_           struct{} `cbor:",toarray"`
	Host        ident.Host
	Incarnation uint64
	// Start is when the period began, in seconds since 1970 UTC.
	Start int64
	// From and Through bound the minutes of the period that the bucket covers:
	// those from From on and before Through.
	From    int
	Through int
	// Rows is sorted by tier and team.
	Rows []Row
}

// start returns when the period began.
func (b *Bucket) start() time.Time {
	return time.Unix(b.Start, 0).UTC()
}

// from and through bound the time that the bucket covers.
func (b *Bucket) from() time.Time    { return b.start().Add(time.Duration(b.From) * minute) }
func (b *Bucket) through() time.Time { return b.start().Add(time.Duration(b.Through) * minute) }

// writer identifies the process that wrote the bucket.
func (b *Bucket) writer() string {
	return string(b.Host) + "." + strconv.FormatUint(b.Incarnation, 10)
}

// key returns the bucket's key in the object store.
func (b *Bucket) key() string {
	return periodPrefix(b.start()) + b.writer()
}

// periodPrefix returns the start of the keys of a period's buckets.
func periodPrefix(start time.Time) string {
	return keyPrefix + start.UTC().Format(keyTime) + "/"
}

// errBucket says that an object is no bucket.
var errBucket = errors.New("report: not a bucket")

// encodeBucket returns the bucket as CBOR.
func encodeBucket(b *Bucket) ([]byte, error) {
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "report: encode bucket")
}

// decodeBucket reads what encodeBucket wrote under a key.
func decodeBucket(key string, data []byte) (*Bucket, error) {
	b := &Bucket{}
	if err := cbor.Unmarshal(data, b); err != nil {
		return nil, errors.Wrap(errBucket, err.Error())
	}
	if b.key() != key || b.Start%int64(period/time.Second) != 0 || len(b.Rows) > maxBucketRows {
		return nil, errors.Wrap(errBucket, key)
	}
	if b.From < 0 || b.From > b.Through || b.Through > int(period/minute) {
		return nil, errors.Wrap(errBucket, key)
	}
	for i := range b.Rows {
		if !b.Rows[i].Counts.plausible() {
			return nil, errors.Wrap(errBucket, key)
		}
	}
	return b, nil
}

// plausible says that no part is larger than its whole.
func (c *Counts) plausible() bool {
	return c.Good <= c.Total && c.FirstGood <= c.First && c.GapGood <= c.Gap
}

// hostOfKey returns the host whose bucket stands under a key.
func hostOfKey(key string) ident.Host {
	writer := key[strings.LastIndexByte(key, '/')+1:]
	if dot := strings.LastIndexByte(writer, '.'); dot >= 0 {
		return ident.Host(writer[:dot])
	}
	return ident.Host(writer)
}
