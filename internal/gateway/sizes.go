package gateway

import "sync"

// answerSizes holds the mean length of the answers of each route, in bytes. The zero value is ready
// to use.
type answerSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// sizeWeight is the weight of one answer in the mean length.
const sizeWeight = 0.02

// observe records the length of a complete answer.
func (a *answerSizes) observe(route string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.means[route]
	switch {
	case known:
		a.means[route] = mean + sizeWeight*(float64(bytes)-mean)
	case a.means == nil:
		a.means = map[string]float64{route: float64(bytes)}
	default:
		a.means[route] = float64(bytes)
	}
}

// expect returns the mean length of a route's answers; 0 before the first.
func (a *answerSizes) expect(route string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.means[route])
}
