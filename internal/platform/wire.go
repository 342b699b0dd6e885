package platform

import "time"

// Paths of the platform's services. Bodies are CBOR, except that objects are raw
// bytes.
const (
	// PathRow returns a Row: GET ?key=.
	PathRow = "/table/row"
	// PathRows returns a list of Rows: GET ?prefix=&after=&limit=.
	PathRows = "/table/rows"
	// PathCommit applies the Txn of a POST and returns Committed.
	PathCommit = "/table/commit"
	// PathObject reads (GET ?key=) and replaces (PUT ?key=) an object.
	PathObject = "/objects/object"
	// PathObjectKeys returns the keys with a prefix: GET ?prefix=.
	PathObjectKeys = "/objects/keys"
	// PathReserve requests permission to fetch a weight set: POST ?name=.
	PathReserve = "/weights/reserve"
	// PathHosts lists (GET) and registers (POST) host entries.
	PathHosts = "/hosts"
)

// HeaderRefused is set in an answer with status 503 if the call had no effect.
const HeaderRefused = "X-Platform-Refused"

// ContentType is the media type of bodies other than objects.
const ContentType = "application/cbor"

// Committed is the answer to a transaction that was applied.
type Committed struct {
	// Version is the new version of the rows.
	Version uint64 `json:"version"`
}

// Limited is the answer to a call that the rate limit rejected.
type Limited struct {
	// Wait is the time to wait before the next call, in nanoseconds.
	Wait time.Duration `json:"wait"`
}
