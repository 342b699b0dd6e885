package trace

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Kinds of events. They are part of the trace format.
const (
	kindArrive Kind = iota + 1
	kindCancel
	kindStarted
	kindDeclined
	kindFirstToken
	kindFinished
	kindLoadReport
	kindCacheEvent
	kindConfigure
	kindRestore
	kindHostLost
	kindRemote
	kindSuspects
	kindRolloutChanged
)

// Kinds of effects. They are part of the hashed encoding of effects.
const (
	kindGrant Kind = iota + 1
	kindRefuse
	kindSpill
	kindPublish
	kindRolloutDecided
	kindRolloutStep
)

// decoders holds the decoder of the body of each kind of event.
var decoders = map[Kind]func([]byte) (pool.Event, error){
	kindArrive:     decode[pool.Arrive],
	kindCancel:     decode[pool.Cancel],
	kindStarted:    decode[pool.Started],
	kindDeclined:   decode[pool.Declined],
	kindFirstToken: decode[pool.FirstToken],
	kindFinished:   decode[pool.Finished],
	kindLoadReport: decode[pool.LoadReport],
	kindCacheEvent: decode[pool.CacheEvent],
	kindConfigure:  decode[pool.Configure],
	kindRestore:    decode[pool.Restore],
	kindHostLost:   decode[pool.HostLost],
	kindRemote:     decode[pool.Remote],
	kindSuspects:   decode[pool.Suspects],

	kindRolloutChanged: decode[pool.RolloutChanged],
}

// decode decodes the body of an event of type E.
func decode[E pool.Event](b []byte) (pool.Event, error) {
	var e E
	if err := decoding.Unmarshal(b, &e); err != nil {
		return nil, errors.Wrap(err, "decode the body of an event")
	}
	return e, nil
}

// eventKind returns the kind of an event, or an error for an unknown type.
func eventKind(e pool.Event) (Kind, error) {
	switch e.(type) {
	case pool.Arrive:
		return kindArrive, nil
	case pool.Cancel:
		return kindCancel, nil
	case pool.Started:
		return kindStarted, nil
	case pool.Declined:
		return kindDeclined, nil
	case pool.FirstToken:
		return kindFirstToken, nil
	case pool.Finished:
		return kindFinished, nil
	case pool.LoadReport:
		return kindLoadReport, nil
	case pool.CacheEvent:
		return kindCacheEvent, nil
	case pool.Configure:
		return kindConfigure, nil
	case pool.Restore:
		return kindRestore, nil
	case pool.HostLost:
		return kindHostLost, nil
	case pool.Remote:
		return kindRemote, nil
	case pool.Suspects:
		return kindSuspects, nil
	case pool.RolloutChanged:
		return kindRolloutChanged, nil
	}
	return 0, errors.Errorf("unknown event type %T", e)
}

// effectKind returns the kind of an effect, or an error for an unknown type.
func effectKind(e pool.Effect) (Kind, error) {
	switch e.(type) {
	case pool.Grant:
		return kindGrant, nil
	case pool.Refuse:
		return kindRefuse, nil
	case pool.Spill:
		return kindSpill, nil
	case pool.Publish:
		return kindPublish, nil
	case pool.RolloutDecided:
		return kindRolloutDecided, nil
	case pool.RolloutStep:
		return kindRolloutStep, nil
	}
	return 0, errors.Errorf("unknown effect type %T", e)
}

// encodeEvent returns an event as it is stored in a trace.
func encodeEvent(e pool.Event) (Event, error) {
	kind, err := eventKind(e)
	if err != nil {
		return Event{}, err
	}
	body, err := encoding.Marshal(e)
	if err != nil {
		return Event{}, errors.Wrap(err, "encode the body of an event")
	}
	return Event{Kind: kind, Body: cbor.RawMessage(body)}, nil
}

// Decode returns the decoded event.
func (e Event) Decode() (pool.Event, error) {
	decodeBody := decoders[e.Kind]
	if decodeBody == nil {
		return nil, errors.Errorf("unknown event kind %d", e.Kind)
	}
	return decodeBody(e.Body)
}
