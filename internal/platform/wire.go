package platform

import "time"

// Paths of the platform's services. Bodies are CBOR, but objects are plain
// bytes.
const (
	// PathRow answers one Row: GET ?key=.
	PathRow = "/table/row"
	// PathRows answers Rows: GET ?prefix=&after=&limit=.
	PathRows = "/table/rows"
	// PathCommit takes a Txn by POST and answers Committed.
	PathCommit = "/table/commit"
	// PathObject reads (GET ?key=) and replaces (PUT ?key=) one object.
	PathObject = "/objects/object"
	// PathObjectKeys answers the keys with a prefix: GET ?prefix=.
	PathObjectKeys = "/objects/keys"
	// PathReserve asks for leave to fetch a weight set: POST ?name=.
	PathReserve = "/weights/reserve"
	// PathHosts lists (GET) and takes (POST) host entries.
	PathHosts = "/hosts"
)

// HeaderRefused stands in an answer with status 503 if the call had no effect.
const HeaderRefused = "X-Platform-Refused"

// ContentType is the media type of bodies other than objects.
const ContentType = "application/cbor"

// Committed answers a transaction that was applied.
type Committed struct {
	// Version is the version given to the rows.
	Version uint64 `json:"version"`
}

// Limited answers a call that the rate limit refused.
type Limited struct {
	// Wait is how long to wait before the next call, in nanoseconds.
	Wait time.Duration `json:"wait"`
}
