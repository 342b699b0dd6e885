// Package bound limits the figures that callers, endpoints, rows of the store and other hosts send,
// where they are decoded. A figure beyond its bound counts as the bound, so that no sum, product or
// conversion of such figures overflows.
package bound

import (
	"errors"
	"math"
	"strconv"
	"time"
)

const (
	// MaxTokens bounds a number of tokens, and the length of a prompt. No engine's memory holds as many.
	MaxTokens = 1 << 30
	// MaxCount bounds other numbers, such as slots, connections and weights.
	MaxCount = 1 << 20
	// MaxBytes bounds a number of bytes.
	MaxBytes = 1 << 40
	// MaxTime bounds a length of time.
	MaxTime = 365 * 24 * time.Hour
	// MaxAmount bounds a rate or a cost, in tokens or requests.
	MaxAmount = 1 << 50
)

// Count returns n, or the nearest number from 0 to most.
func Count[T int | int64 | uint32 | uint64](n T, most int) int {
	switch {
	case n <= 0:
		return 0
	case uint64(n) > uint64(most):
		return most
	}
	return int(n)
}

// ParseCount parses a decimal number that isn't negative. It returns most for a larger one, whatever
// its length, and false if the text is no such number.
func ParseCount(text string, most int) (int, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0, false
	}
	return Count(n, most), true
}

// Amount returns x, or the nearest number from 0 to MaxAmount; 0 for NaN.
func Amount(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, MaxAmount)
}

// Millis converts milliseconds to a duration from 0 to most; 0 for NaN. The conversion of a float
// beyond the range of a duration differs between processors.
func Millis(ms float64, most time.Duration) time.Duration {
	if math.IsNaN(ms) || ms <= 0 {
		return 0
	}
	if ms >= float64(most)/float64(time.Millisecond) {
		return most
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Micros converts microseconds to a duration from -MaxTime to MaxTime.
func Micros(us int64) time.Duration {
	const most = int64(MaxTime / time.Microsecond)
	return time.Duration(min(max(us, -most), most)) * time.Microsecond
}

// Prompt shortens the parts of a prompt, given in tokens, so that all together have at most MaxTokens.
func Prompt(parts []int) {
	left := MaxTokens
	for i, n := range parts {
		parts[i] = Count(n, left)
		left -= parts[i]
	}
}
