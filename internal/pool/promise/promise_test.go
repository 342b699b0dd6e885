package promise

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const second = time.Second

// TestBook plays refusals and returns. It guards against times that are the same for all,
// capacity that is promised twice or kept for nobody, and an advantage for early returns.
func TestBook(t *testing.T) {
	g := NewWithT(t)
	var b Book
	room := Room{Ahead: 2 * second, Rate: 4}
	refuse := func(now time.Duration, body uint64, before Return) Answer {
		return b.Refuse(now, Refused{
			Key: Key{"t", body}, FirstDue: now + second, Deadline: 12 * second, Repeats: true, Cost: 2 * second, Total: second,
		}, before, room)
	}
	g.Expect(refuse(0, 1, Return{})).To(Equal(Answer{second, true}))
	g.Expect(refuse(0, 2, Return{})).To(Equal(Answer{1500 * time.Millisecond, true}), "after the first")
	g.Expect(b.Outstanding(0)).To(Equal(4 * second))

	early := b.Arrive(200*time.Millisecond, Key{"t", 1}, 12*second)
	g.Expect([]bool{early.Known(), early.Kept, early.Waited}).To(Equal([]bool{true, false, false}))
	g.Expect(early.FirstDue).To(Equal(second), "its objective counts from its first arrival")
	g.Expect(refuse(200*time.Millisecond, 1, early)).To(Equal(Answer{800 * time.Millisecond, true}), "the same promise")
	g.Expect(b.Outstanding(0)).To(Equal(4 * second))

	other := b.Arrive(second, Key{"t", 1}, 13*second)
	g.Expect(other.Known()).To(BeFalse(), "another request with the same body")
	kept := b.Arrive(second+5*time.Millisecond, Key{"t", 1}, 12*second+10*time.Millisecond)
	g.Expect([]bool{kept.Known(), kept.Kept, kept.Waited}).To(Equal([]bool{true, true, true}))
	g.Expect(b.Outstanding(second)).To(Equal(2 * second))
	twice := b.Arrive(second+5*time.Millisecond, Key{"t", 1}, 12*second)
	g.Expect(twice.Known()).To(BeFalse(), "a promise is used once")

	late := 1500*time.Millisecond + grace + 1
	g.Expect(b.Outstanding(late)).To(BeZero(), "a promise lapses")
	lapsed := b.Arrive(late, Key{"t", 2}, 12*second)
	g.Expect([]bool{lapsed.Known(), lapsed.Kept, lapsed.Waited}).To(Equal([]bool{true, false, true}))
	g.Expect(b.Counts()).To(Equal(Counts{Made: 2, Kept: 1, Early: 1, Lapsed: 1}))
}

// TestNoRoomWithinAThird guards against a promise that callers can't honour, or that the
// request wouldn't end in time after.
func TestNoRoomWithinAThird(t *testing.T) {
	for _, c := range []struct {
		name  string
		room  Room
		total time.Duration
		want  Answer
	}{
		{"room", Room{Ahead: 2 * second, Rate: 1}, second, Answer{3 * second, true}},
		{"room too late", Room{Ahead: 4 * second, Rate: 1}, second, Answer{5 * second, false}},
		{"newcomers leave nothing", Room{Rate: -1}, second, Answer{4*second + minAfter, false}},
		{"too long", Room{Ahead: 2 * second, Rate: 1}, 9 * second, Answer{4*second + minAfter, false}},
		{"at once", Room{Rate: 1000}, second, Answer{minAfter, true}},
	} {
		var b Book
		got := b.Refuse(0, Refused{Key: Key{"t", 1}, Deadline: 12 * second, Cost: second, Total: c.total}, Return{}, c.room)
		NewWithT(t).Expect(got).To(Equal(c.want), c.name)
	}
}

// TestBookIsBounded guards against a table that grows with the refusals of a long overload, and
// against sums that drift from its rows.
func TestBookIsBounded(t *testing.T) {
	g := NewWithT(t)
	var b Book
	for i := range uint64(3 * maxRows) {
		b.Refuse(time.Duration(i), Refused{Key: Key{"t", i % 100}, Deadline: time.Hour, Cost: second}, Return{}, Room{Rate: 1e6})
	}
	g.Expect(b.byEnd).To(HaveLen(maxRows))
	g.Expect(b.Outstanding(0)).To(Equal(maxRows * second))
	g.Expect(b.Outstanding(2 * time.Hour)).To(BeZero())
	g.Expect(b.byEnd).To(BeEmpty())
	g.Expect(b.rows).To(BeEmpty())
}
