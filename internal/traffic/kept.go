package traffic

import (
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/answer"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
)

// contentTypeAnswer marks the body of a kept answer as an encoded answer.
const contentTypeAnswer = "application/vnd.trefoilchute.answer+cbor"

// keptAnswer returns the form in which a claim keeps an ended answer.
func keptAnswer(a *answer.Answer) claim.Answer {
	final := a.Final()
	body, err := a.Encode()
	if err != nil {
		return claim.Answer{Code: result.Internal}
	}
	return claim.Answer{
		Code: final.Code, Status: final.Status, ContentType: contentTypeAnswer, Body: body,
	}
}

// errNotKept says that a claim holds something else than an answer.
var errNotKept = errors.New("traffic: the kept answer can't be read")

// restore copies a kept answer into a job's own.
func restore(to *answer.Answer, kept claim.Answer) error {
	if kept.ContentType != contentTypeAnswer {
		return errNotKept
	}
	from, err := answer.Decode(kept.Body)
	if err != nil {
		return errors.Wrap(errNotKept, err.Error())
	}
	for i := range from.Len() {
		to.Append(from.At(i).Part)
	}
	to.Finish(*from.Final())
	return nil
}

// ReturnAnswer gives a job the answer that an earlier request with its key got.
func (r *Runner) ReturnAnswer(id ident.Request, kept claim.Answer) {
	j := r.jobs.get(id)
	if j == nil {
		return
	}
	if err := restore(j.Answer, kept); err != nil {
		j.Answer.Finish(answer.Final{Code: result.OutcomeUnknown, Reason: err.Error()})
	}
}
