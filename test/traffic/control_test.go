package traffic_test

import (
	"sync"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
)

// fakeControl grants every request its target's endpoint and commits every
// connection.
type fakeControl struct {
	runner    *traffic.Runner
	addresses map[string]string

	mu sync.Mutex
	// keepWaiting grants nothing; keepConnected commits nothing.
	keepWaiting   bool
	keepConnected bool
	// beforeCommit is called between a connection and its commit.
	beforeCommit func()
	arrivals     map[ident.Request]custody.Arrival
	connected    []control.Connected
	dispatched   map[ident.Request]bool
	unreachable  int
	gone         int
	firstTokens  int
	ended        []control.Ended
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		addresses:  map[string]string{},
		arrivals:   map[ident.Request]custody.Arrival{},
		dispatched: map[ident.Request]bool{},
	}
}

// post takes an event of the traffic side.
func (c *fakeControl) post(e control.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := e.(type) {
	case control.Arrived:
		c.arrivals[e.Arrival.ID] = e.Arrival
		if !c.keepWaiting {
			c.connect(e.Arrival.ID, 1)
		}
	case control.Connected:
		c.connected = append(c.connected, e)
		if !c.keepConnected {
			c.commit(e)
		}
	case control.Unreachable:
		c.unreachable++
		c.refuse(e.ID, result.NoEndpoint)
	case control.CallerLeft:
		c.gone++
		c.leave(e.ID)
	case control.FirstToken:
		c.firstTokens++
	case control.Ended:
		c.ended = append(c.ended, e)
	}
}

func (c *fakeControl) connect(id ident.Request, attempt ident.Attempt) {
	c.runner.Apply(custody.Directive{
		Kind: custody.Connect, ID: id, Attempt: attempt, Address: c.addresses[c.arrivals[id].Target],
	})
}

func (c *fakeControl) commit(e control.Connected) {
	if c.beforeCommit != nil {
		c.beforeCommit()
	}
	c.dispatched[e.ID] = true
	c.runner.Apply(custody.Directive{Kind: custody.Commit, ID: e.ID, Attempt: e.Attempt, Proceed: true})
}

func (c *fakeControl) refuse(id ident.Request, code result.Code) {
	c.runner.Apply(custody.Directive{
		Kind: custody.Refuse, ID: id, Err: &result.Error{Code: code, RetryAfter: retryAfter},
	})
}

// leave withdraws or cancels the request of a caller that has left, as custody
// does.
func (c *fakeControl) leave(id ident.Request) {
	switch {
	case !c.dispatched[id]:
		c.refuse(id, result.CallerGone)
	case c.arrivals[id].Key == "":
		c.runner.Apply(custody.Directive{Kind: custody.CancelRun, ID: id})
	}
}

// with runs a function that looks at the control's state.
func (c *fakeControl) with(f func(c *fakeControl)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// count returns a number that with may see.
func (c *fakeControl) count(f func(c *fakeControl) int) func() int {
	return func() (n int) {
		c.with(func(c *fakeControl) { n = f(c) })
		return n
	}
}

// phases returns how the dispatched requests ended.
func (c *fakeControl) phases() (list []peerpb.Report_Phase) {
	c.with(func(c *fakeControl) {
		for _, e := range c.ended {
			list = append(list, e.End.Phase)
		}
	})
	return list
}
