package entry

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// errorDoc is the body of an answer that isn't a whole answer.
type errorDoc struct {
	Error errorInfo `json:"error"`
}

// errorInfo describes the result to the caller.
type errorInfo struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	// Ran is "no", "yes" or "unknown".
	Ran    string `json:"ran"`
	Resend string `json:"resend"`
	// RetryAfterMillis is when to come back; absent if unstated.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// errorBody returns the JSON of an error.
func errorBody(e *result.Error) []byte {
	info, _ := result.Lookup(e.Code)
	body, err := json.Marshal(errorDoc{errorInfo{
		Code: e.Code, Type: info.Name, Message: e.Reason, Ran: info.Ran.String(),
		Resend: info.Resend, RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return body
}

// answerError writes an error with its code's status and the time to come back.
func answerError(c *fiber.Ctx, err error) error {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.New(result.Internal, err.Error())
	}
	info, ok := result.Lookup(coded.Code)
	if !ok {
		info.Status = fiber.StatusInternalServerError
	}
	setCode(c, coded.Code)
	if coded.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, retrySeconds(coded.RetryAfter))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(info.Status).Send(errorBody(coded))
}

// retrySeconds returns whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// setCode tells the caller the result code.
func setCode(c *fiber.Ctx, code result.Code) {
	c.Set(HeaderCode, strconv.Itoa(int(code)))
}

// answerFiberError answers what fiber itself refuses, such as a body over the
// limit.
func answerFiberError(c *fiber.Ctx, err error) error {
	var refused *fiber.Error
	if !errors.As(err, &refused) {
		return answerError(c, result.New(result.Internal, err.Error()))
	}
	code := result.BadRequest
	switch refused.Code {
	case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
		code = result.TooLarge
	}
	return answerError(c, result.New(code, refused.Message))
}

// checkMethod answers methods that fiber doesn't know, which it would refuse
// without a code.
func checkMethod(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		e := result.New(result.BadRequest, "the method is not known")
		ctx.Response.Header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
		ctx.SetContentType(fiber.MIMEApplicationJSON)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBody(errorBody(e))
	}
}
