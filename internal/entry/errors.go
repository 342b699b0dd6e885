package entry

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// writeError writes an error response with its result code, status and Retry-After.
func writeError(c *fiber.Ctx, err error) error {
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
	return c.Status(info.Status).Send(coded.Body())
}

// retrySeconds returns d in seconds, rounded up, for the Retry-After header.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// setCode sets the header of the result code.
func setCode(c *fiber.Ctx, code result.Code) {
	c.Set(HeaderCode, strconv.Itoa(int(code)))
}

// handleFiberError answers requests that fiber itself rejects, such as those with a body over
// the limit.
func handleFiberError(c *fiber.Ctx, err error) error {
	var refused *fiber.Error
	if !errors.As(err, &refused) {
		return writeError(c, result.New(result.Internal, err.Error()))
	}
	code := result.BadRequest
	switch refused.Code {
	case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
		code = result.TooLarge
	}
	return writeError(c, result.New(code, refused.Message))
}

// rejectUnknownMethods answers requests whose method fiber doesn't know, since fiber would
// reject them without a result code.
func rejectUnknownMethods(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		e := result.New(result.BadRequest, "the method is not known")
		ctx.Response.Header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
		ctx.SetContentType(fiber.MIMEApplicationJSON)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBody(e.Body())
	}
}
